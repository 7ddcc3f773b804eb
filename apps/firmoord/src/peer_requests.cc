#include "peer_requests.h"

#include <QCborArray>
#include <QCborValue>
#include <algorithm>
#include <utility>

namespace firmoor {
namespace {

constexpr Duration kProgressTimeout{500};
constexpr std::size_t kMaxQueriedDaemons = 6;
// The origin and the nearest other one; each may cost kProgressTimeout.
constexpr std::size_t kMaxQueriedDeadDaemons = 2;

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
  const auto keep_nearest = [&](std::vector<Member>* members,
                                std::size_t count) {
    std::stable_sort(
        members->begin(), members->end(),
        [&](const Member& a, const Member& b) { return rank(a) < rank(b); });
    if (members->size() > count) members->resize(count);
  };
  auto members = fleet_->LiveMembersByDistance(id);
  keep_nearest(&members, kMaxQueriedDaemons);
  auto dead = fleet_->membership().FullState().members;
  std::erase_if(dead, [](const Member& member) {
    return member.state != MemberState::kDead;
  });
  keep_nearest(&dead, kMaxQueriedDeadDaemons);
  members.insert(members.end(), dead.begin(), dead.end());
  return members;
}

void PeerRequests::Find(const std::string& id, std::size_t from,
                        const Done& done) {
  const auto query = QCborValue(QCborArray{QByteArray::fromStdString(id),
                                           static_cast<qint64>(from)})
                         .toCbor();
  QueryNext(std::make_shared<Lookup>(Lookup{CandidatesFor(id), query, done}));
}

void PeerRequests::QueryNext(const std::shared_ptr<Lookup>& lookup) {
  if (lookup->candidates.empty()) {
    RequestProgress missing;
    missing.unanswered = lookup->unanswered;
    return lookup->done(missing);
  }
  const Member member = lookup->candidates.front();
  lookup->candidates.erase(lookup->candidates.begin());
  fleet_->Call(
      member, "tail", lookup->query, kProgressTimeout,
      [this, lookup, member](PeerStatus status, const QByteArray& body) {
        const auto decoded =
            Capture([&] { return RequestProgress::Decode(body); });
        const auto* progress = std::get_if<RequestProgress>(&decoded);
        if (status == PeerStatus::kOk && progress != nullptr &&
            progress->found) {
          return lookup->done(*progress);
        }
        // A dead daemon that refuses the connection has ended.
        const bool has_ended = status == PeerStatus::kNotSent &&
                               member.state == MemberState::kDead;
        lookup->unanswered |= status != PeerStatus::kOk && !has_ended;
        QueryNext(lookup);
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
