#include "details/delegated_response_writer.h"

#include <utility>

#include "details/delegation_messages.h"

namespace firmoor::details {

using Kind = DelegationReply::Kind;

namespace {

DelegationReply ReplyOf(Kind kind) {
  DelegationReply reply;
  reply.kind = kind;
  return reply;
}

}  // namespace

DelegatedResponseWriter::DelegatedResponseWriter(
    std::shared_ptr<PeerStreamResponder> responder)
    : responder_(std::move(responder)) {}

void DelegatedResponseWriter::Accept() {
  responder_->Send(ReplyOf(Kind::kAccepted).Encode());
}

void DelegatedResponseWriter::Refuse(PeerRefusal reason) {
  auto reply = ReplyOf(Kind::kRefused);
  reply.reason = reason;
  responder_->Send(reply.Encode());
  responder_->Finish();
}

void DelegatedResponseWriter::HoldUntilTaken(
    std::shared_ptr<BodyBudget::Share> share) {
  responder_->Keep(std::move(share));
}

void DelegatedResponseWriter::Send(const HttpResponse& response) {
  auto reply = ReplyOf(Kind::kResponse);
  reply.response = response;
  responder_->Send(reply.Encode());
  responder_->Finish();
}

void DelegatedResponseWriter::StartStream(int status,
                                          const HttpHeaders& headers) {
  auto reply = ReplyOf(Kind::kStreamStart);
  reply.response = {status, headers, ""};
  reply.version = version_;
  responder_->Send(reply.Encode());
}

void DelegatedResponseWriter::Write(std::string_view bytes) {
  auto reply = ReplyOf(Kind::kEvents);
  reply.response.body = bytes;
  responder_->Send(reply.Encode());
}

void DelegatedResponseWriter::FinishStream() {
  responder_->Send(ReplyOf(Kind::kStreamEnd).Encode());
  responder_->Finish();
}

void DelegatedResponseWriter::Abort() { responder_->Abort(); }

void DelegatedResponseWriter::Discard() { responder_->Abort(); }

std::size_t DelegatedResponseWriter::UnsentBytes() const {
  return responder_->UnsentBytes();
}

void DelegatedResponseWriter::OnSent(std::function<void()> handler) {
  responder_->OnSent(std::move(handler));
}

bool DelegatedResponseWriter::IsOpen() const { return responder_->IsOpen(); }

void DelegatedResponseWriter::OnCallerDisconnected(
    std::function<void()> handler) {
  responder_->OnCancelled(std::move(handler));
}

}  // namespace firmoor::details
