#include "gateway/peer_directory_messages.h"

#include <QCborArray>

#include "base/text.h"

namespace firmoor {

QCborValue EncodeDirectoryPosition(const DirectoryPosition& position) {
  return QCborArray{static_cast<qint64>(position.term),
                    static_cast<qint64>(position.revision)};
}

DirectoryPosition DecodeDirectoryPosition(const QCborValue& value) {
  const auto items = value.toArray();
  return {items.at(0).toInteger(), items.at(1).toInteger()};
}

QCborValue EncodeDirectoryUpdate(const DirectoryUpdate& update) {
  QCborArray added;
  for (const auto& peer : update.added) {
    added.append(QCborArray{Text(peer.daemon), Text(peer.availability_zone),
                            Text(peer.endpoint.ToString())});
  }
  QCborArray removed;
  for (const auto& daemon : update.removed) removed.append(Text(daemon));
  return QCborMap{{"position", EncodeDirectoryPosition(update.position)},
                  {"full", update.is_full},
                  {"added", added},
                  {"removed", removed}};
}

DirectoryUpdate DecodeDirectoryUpdate(const QCborValue& value) {
  const auto map = value.toMap();
  DirectoryUpdate update;
  update.position = DecodeDirectoryPosition(map[QLatin1String("position")]);
  update.is_full = map[QLatin1String("full")].toBool();
  const auto added = map[QLatin1String("added")].toArray();
  for (const auto& item : added) {
    const auto fields = item.toArray();
    const PeerAddress peer{
        fields.at(0).toString().toStdString(),
        fields.at(1).toString().toStdString(),
        Endpoint::Parse(fields.at(2).toString().toStdString())};
    if (!peer.daemon.empty() && peer.endpoint.port != 0) {
      update.added.push_back(peer);
    }
  }
  const auto removed = map[QLatin1String("removed")].toArray();
  for (const auto& item : removed) {
    update.removed.push_back(item.toString().toStdString());
  }
  return update;
}

}  // namespace firmoor
