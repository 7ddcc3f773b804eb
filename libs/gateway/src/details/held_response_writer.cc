#include "details/held_response_writer.h"

#include <utility>

namespace firmoor::details {

HeldResponseWriter::HeldResponseWriter(std::shared_ptr<ResponseWriter> writer)
    : writer_(std::move(writer)) {}

void HeldResponseWriter::Hold() {
  if (state_ == State::kPassing) state_ = State::kHolding;
}

void HeldResponseWriter::Release() {
  if (state_ != State::kHolding) return;
  state_ = State::kPassing;
  if (is_started_) writer_->StartStream(status_, headers_);
  const auto bytes = std::exchange(bytes_, {});
  if (!bytes.empty()) writer_->Write(bytes);
  if (is_finished_) writer_->FinishStream();
}

void HeldResponseWriter::Replace(const HttpResponse& response) {
  if (state_ != State::kHolding) return;
  state_ = State::kOver;
  bytes_.clear();
  writer_->Send(response);
}

void HeldResponseWriter::HoldUntilTaken(
    std::shared_ptr<BodyBudget::Share> share) {
  writer_->HoldUntilTaken(std::move(share));
}

void HeldResponseWriter::Send(const HttpResponse& response) {
  if (state_ == State::kOver) return;
  if (state_ == State::kHolding) return Replace(response);
  writer_->Send(response);
}

void HeldResponseWriter::StartStream(int status, const HttpHeaders& headers) {
  if (state_ == State::kPassing) return writer_->StartStream(status, headers);
  is_started_ = true;
  status_ = status;
  headers_ = headers;
}

void HeldResponseWriter::Write(std::string_view bytes) {
  if (state_ == State::kPassing) return writer_->Write(bytes);
  if (state_ == State::kHolding) bytes_ += bytes;
}

void HeldResponseWriter::FinishStream() {
  if (state_ == State::kPassing) return writer_->FinishStream();
  is_finished_ = true;
}

void HeldResponseWriter::Abort() {
  if (state_ == State::kOver) return;
  state_ = State::kOver;
  writer_->Abort();
}

void HeldResponseWriter::Discard() {
  if (state_ == State::kOver) return;
  state_ = State::kOver;
  writer_->Discard();
}

std::size_t HeldResponseWriter::UnsentBytes() const {
  return writer_->UnsentBytes() + bytes_.size();
}

void HeldResponseWriter::OnSent(std::function<void()> handler) {
  writer_->OnSent(std::move(handler));
}

bool HeldResponseWriter::IsOpen() const {
  return !is_finished_ && writer_->IsOpen();
}

void HeldResponseWriter::OnCallerDisconnected(std::function<void()> handler) {
  writer_->OnCallerDisconnected(std::move(handler));
}

}  // namespace firmoor::details
