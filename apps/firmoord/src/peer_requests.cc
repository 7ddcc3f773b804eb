#include "peer_requests.h"

#include <QCborArray>
#include <QCborValue>
#include <algorithm>
#include <utility>

namespace firmoor {
namespace {

constexpr Duration kTailTimeout{500};
constexpr std::size_t kTailCandidates = 6;

}  // namespace

PeerRequests::PeerRequests(const Settings& settings, Fleet* fleet,
                           Dispatcher* dispatcher)
    : settings_(settings), fleet_(fleet), dispatcher_(dispatcher) {
  fleet_->SetHandler("tail", [this](const auto& message, const auto& reply) {
    ServeTail(message, reply);
  });
  fleet_->SetHandler("handover",
                     [this](const auto& message, const auto& reply) {
                       ServeHandover(message, reply);
                     });
}

std::vector<Member> PeerRequests::CandidatesFor(const std::string& id) const {
  const auto home = OriginOf(id);
  auto members = fleet_->NearestFor(id);
  const auto* home_member = fleet_->membership().Find(home.daemon);
  const std::string home_region =
      home_member == nullptr ? settings_.region : home_member->region;
  // Nearest to the home, in the rendezvous order that it uses itself.
  const auto rank = [&](const Member& member) {
    if (member.name == home.daemon) return 0;
    if (member.availability_zone == home.availability_zone) return 1;
    return member.region == home_region ? 2 : 3;
  };
  std::stable_sort(
      members.begin(), members.end(),
      [&](const Member& a, const Member& b) { return rank(a) < rank(b); });
  if (members.size() > kTailCandidates) members.resize(kTailCandidates);
  return members;
}

void PeerRequests::Find(const std::string& id, std::size_t from,
                        const Done& done) {
  const auto question = QCborValue(QCborArray{QByteArray::fromStdString(id),
                                              static_cast<qint64>(from)})
                            .toCbor();
  Ask(std::make_shared<std::vector<Member>>(CandidatesFor(id)), question, done);
}

void PeerRequests::Ask(const Candidates& candidates, const QByteArray& question,
                       const Done& done) {
  if (candidates->empty()) return done({});
  const Member member = candidates->front();
  candidates->erase(candidates->begin());
  fleet_->Call(
      member, "tail", question, kTailTimeout,
      [this, candidates, question, done](PeerStatus status,
                                         const QByteArray& body) {
        const auto tail =
            Capture([&] { return RequestProgress::Decode(body); });
        const auto* held = std::get_if<RequestProgress>(&tail);
        if (status == PeerStatus::kOk && held != nullptr && held->found) {
          return done(*held);
        }
        Ask(candidates, question, done);
      });
}

void PeerRequests::ServeTail(const QByteArray& message,
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
  const bool taken = request != nullptr && dispatcher_->Adopt(*request);
  reply(taken ? "taken" : "refused");
}

}  // namespace firmoor
