#include "peer_requests.h"

#include <QCborArray>
#include <QCborValue>
#include <algorithm>
#include <utility>

namespace firmoor {
namespace {

constexpr Duration kProgressTimeout{500};
constexpr std::size_t kMaxQueriedDaemons = 6;

}  // namespace

PeerRequests::PeerRequests(const Settings& settings, Fleet* fleet,
                           Dispatcher* dispatcher)
    : settings_(settings), fleet_(fleet), dispatcher_(dispatcher) {
  fleet_->SetHandler("tail", [this](const auto& message, const auto& reply) {
    ServeProgress(message, reply);
  });
  fleet_->SetHandler("handover",
                     [this](const auto& message, const auto& reply) {
                       ServeHandover(message, reply);
                     });
}

std::vector<Member> PeerRequests::CandidatesFor(const std::string& id) const {
  const auto origin = OriginOf(id);
  auto members = fleet_->LiveMembersByDistance(id);
  const auto* origin_member = fleet_->membership().Find(origin.daemon);
  const std::string origin_region =
      origin_member == nullptr ? settings_.region : origin_member->region;
  // Sort by distance from the origin. The stable sort keeps the rendezvous
  // order, in which the origin offers the request.
  const auto rank = [&](const Member& member) {
    if (member.name == origin.daemon) return 0;
    if (member.availability_zone == origin.availability_zone) return 1;
    return member.region == origin_region ? 2 : 3;
  };
  std::stable_sort(
      members.begin(), members.end(),
      [&](const Member& a, const Member& b) { return rank(a) < rank(b); });
  if (members.size() > kMaxQueriedDaemons) members.resize(kMaxQueriedDaemons);
  return members;
}

void PeerRequests::Find(const std::string& id, std::size_t from,
                        const Done& done) {
  const auto query = QCborValue(QCborArray{QByteArray::fromStdString(id),
                                           static_cast<qint64>(from)})
                         .toCbor();
  QueryNext(std::make_shared<std::vector<Member>>(CandidatesFor(id)), query,
            done);
}

void PeerRequests::QueryNext(const Candidates& candidates,
                             const QByteArray& query, const Done& done) {
  if (candidates->empty()) return done({});
  const Member member = candidates->front();
  candidates->erase(candidates->begin());
  fleet_->Call(member, "tail", query, kProgressTimeout,
               [this, candidates, query, done](PeerStatus status,
                                               const QByteArray& body) {
                 const auto decoded =
                     Capture([&] { return RequestProgress::Decode(body); });
                 const auto* progress = std::get_if<RequestProgress>(&decoded);
                 if (status == PeerStatus::kOk && progress != nullptr &&
                     progress->found) {
                   return done(*progress);
                 }
                 QueryNext(candidates, query, done);
               });
}

void PeerRequests::ServeProgress(const QByteArray& message,
                                 const PeerNode::Reply& reply) {
  const auto array = QCborValue::fromCbor(message).toArray();
  reply(dispatcher_
            ->Progress(array.at(0).toByteArray().toStdString(),
                       static_cast<std::size_t>(array.at(1).toInteger()))
            .Encode());
}

void PeerRequests::ServeHandover(const QByteArray& message,
                                 const PeerNode::Reply& reply) {
  const auto record = Capture([&] { return RequestRecord::Decode(message); });
  const auto* request = std::get_if<RequestRecord>(&record);
  const bool adopted = request != nullptr && dispatcher_->Adopt(*request);
  reply(adopted ? "taken" : "refused");
}

}  // namespace firmoor
