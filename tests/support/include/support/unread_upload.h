#ifndef FIRMOOR_SUPPORT_UNREAD_UPLOAD_H_
#define FIRMOOR_SUPPORT_UNREAD_UPLOAD_H_

#include <sys/socket.h>

#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>
#include <algorithm>
#include <functional>
#include <string>
#include <utility>

#include "base/time.h"
#include "http/message.h"

namespace firmoor {

/// An upstream that answers a request as soon as it has the head, leaves the
/// body unread and ends the connection.
class UnreadUploadUpstream {
 public:
  /// How the connection ends, `wait` after the answer.
  struct Ending {
    enum class Kind {
      kReset,
      kClose,      ///< In order; the rest of the body stays unread.
      kReadFirst,  ///< In order, once the whole body was read.
    };
    Kind kind = Kind::kReset;
    Duration wait{0};

    bool operator==(const Ending&) const = default;
  };

  /// `answer` makes the bytes that are sent, from the request's head.
  UnreadUploadUpstream(std::function<std::string(const std::string&)> answer,
                       Ending ending)
      : answer_(std::move(answer)), ending_(ending) {
    listener_.listen(QHostAddress(QHostAddress::LocalHost), 0);
    // Inherited by the connections, so that little of a body gets past a
    // process that does not read it.
    const int bytes = kReceiveBytes;
    setsockopt(static_cast<int>(listener_.socketDescriptor()), SOL_SOCKET,
               SO_RCVBUF, &bytes, sizeof(bytes));
    QObject::connect(&listener_, &QTcpServer::newConnection, &listener_,
                     [this] { Accept(); });
  }

  [[nodiscard]] Endpoint Address() const {
    return {"127.0.0.1", listener_.serverPort()};
  }
  [[nodiscard]] int requests() const { return requests_; }
  /// Answers this many requests whole, and keeps their connections.
  void AnswerWhole(int requests) { whole_answers_ = requests; }

 private:
  static constexpr int kReceiveBytes = 16 * 1024;
  static constexpr int kNoTimeout = 0;

  void Accept() {
    while (auto* socket = listener_.nextPendingConnection()) {
      socket->setReadBufferSize(kReceiveBytes);
      QObject::connect(socket, &QTcpSocket::readyRead, socket,
                       [this, socket] { Read(socket); });
    }
  }
  void Read(QTcpSocket* socket) {
    const bool is_answered = socket->property("answered").toBool();
    if (is_answered) {
      if (ending_.kind == Ending::Kind::kReadFirst) DrainBody(socket);
      return;
    }
    const auto head = socket->peek(kReceiveBytes).toStdString();
    const auto end = head.find("\r\n\r\n");
    if (end == std::string::npos) return;
    ++requests_;
    if (whole_answers_ > 0) {
      --whole_answers_;
      socket->readAll();
      socket->write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
      return;
    }
    socket->setProperty("answered", true);
    unread_ = BodySize(head) + end + kEmptyLine;
    socket->write(QByteArray::fromStdString(answer_(head)));
    socket->flush();
    if (ending_.kind == Ending::Kind::kReadFirst) return DrainBody(socket);
    if (ending_.wait == Duration(kNoTimeout)) return End(socket);
    QTimer::singleShot(ending_.wait, socket, [this, socket] { End(socket); });
  }
  void DrainBody(QTcpSocket* socket) {
    unread_ -=
        std::min(unread_, static_cast<std::size_t>(socket->readAll().size()));
    if (unread_ == 0) socket->disconnectFromHost();
  }
  void End(QTcpSocket* socket) const {
    const auto descriptor = static_cast<int>(socket->socketDescriptor());
    if (ending_.kind == Ending::Kind::kClose) {
      shutdown(descriptor, SHUT_WR);
      return;
    }
    const linger now{1, 0};
    setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    socket->abort();
  }
  static std::size_t BodySize(const std::string& head) {
    constexpr std::string_view kField = "Content-Length: ";
    const auto at = head.find(kField);
    return at == std::string::npos
               ? 0
               : std::stoul(head.substr(at + kField.size()));
  }

  static constexpr std::size_t kEmptyLine = 4;

  QTcpServer listener_;
  std::function<std::string(const std::string&)> answer_;
  Ending ending_;
  int requests_ = 0;
  int whole_answers_ = 0;
  std::size_t unread_ = 0;
};

}  // namespace firmoor

#endif  // FIRMOOR_SUPPORT_UNREAD_UPLOAD_H_
