#include "details/lingering_close.h"

#include <sys/socket.h>

namespace firmoor::details {
namespace {

constexpr qint64 kReadBytes = 64 * 1024;

}  // namespace

LingeringClose::LingeringClose(QTcpSocket* socket, LingerBounds bounds)
    : socket_(socket), bounds_(bounds) {
  timer_.setSingleShot(true);
}

void LingeringClose::Start() {
  QObject::connect(socket_, &QTcpSocket::bytesWritten, socket_,
                   [this] { ShutDownIfWritten(); });
  QObject::connect(socket_, &QTcpSocket::readyRead, socket_,
                   [this] { Discard(); });
  QObject::connect(&timer_, &QTimer::timeout, socket_,
                   [this] { socket_->abort(); });
  ShutDownIfWritten();
  Discard();
}

void LingeringClose::ShutDownIfWritten() {
  if (is_shut_down_ || socket_->bytesToWrite() > 0) return;
  is_shut_down_ = true;
  // `QTcpSocket` cannot close one direction only.
  ::shutdown(static_cast<int>(socket_->socketDescriptor()), SHUT_WR);
  timer_.start(bounds_.time);
}

void LingeringClose::Discard() {
  if (discarded_bytes_ >= bounds_.bytes) return;
  discarded_bytes_ += socket_->read(kReadBytes).size();
}

}  // namespace firmoor::details
