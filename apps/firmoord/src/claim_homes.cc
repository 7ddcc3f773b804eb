#include "claim_homes.h"

#include <QCborArray>
#include <QCborValue>
#include <utility>
#include <vector>

#include "base/hash.h"

namespace firmoor {
namespace {

// Claims are forwarded to their home daemon. When it does not answer within
// this time, the claim store updates the slot without it.
constexpr Duration kHomeTimeout{600};

QByteArray EncodeDecision(const ClaimBatcher::Decision& decision) {
  return QCborValue(QCborArray{static_cast<int>(decision.result),
                               EncodeClaim(decision.claim)})
      .toCbor();
}

std::optional<ClaimBatcher::Decision> DecodeDecision(const QByteArray& body) {
  const auto array = QCborValue::fromCbor(body).toArray();
  const auto claim =
      Capture([&] { return DecodeClaim(array.at(1).toByteArray()); });
  const auto* decoded = std::get_if<Claim>(&claim);
  if (decoded == nullptr) return std::nullopt;
  return ClaimBatcher::Decision{
      0, static_cast<ClaimResult>(array.at(0).toInteger()), *decoded};
}

}  // namespace

ClaimHomes::ClaimHomes(const Settings& settings, Fleet* fleet,
                       ClaimStore* claims)
    : settings_(settings), fleet_(fleet), claims_(claims) {
  fleet_->SetHandler("claim", [this](const auto& message, const auto& reply) {
    ServeClaim(message, reply);
  });
  fleet_->SetHandler("record", [this](const auto& message, const auto& reply) {
    ServeRecord(message, reply);
  });
  claims_->SetHomeCalls(MakeCalls());
}

std::optional<Member> ClaimHomes::RemoteHomeOf(const std::string& slot) const {
  // Only daemons of the local region: a claim must not cross the link between
  // regions twice.
  std::vector<std::string> names = {settings_.daemon};
  for (const auto& member : fleet_->membership().Live()) {
    if (member.region == settings_.region) names.push_back(member.name);
  }
  const auto home = RendezvousOrder(slot, std::move(names)).front();
  const auto* member = fleet_->membership().Find(home);
  return member == nullptr ? std::nullopt : std::optional(*member);
}

ClaimStore::HomeCalls ClaimHomes::MakeCalls() {
  ClaimStore::HomeCalls calls;
  calls.claim = [this](const std::string& slot, const Claim& requested,
                       const auto& done) {
    const auto home = RemoteHomeOf(slot);
    if (!home) return false;
    fleet_->Call(
        *home, "claim", EncodeClaim(requested), kHomeTimeout,
        [done](PeerStatus status, const QByteArray& body) {
          done(status == PeerStatus::kOk ? DecodeDecision(body) : std::nullopt);
        });
    return true;
  };
  calls.record = [this](const std::string& slot, const Claim& finished,
                        const auto& done) {
    const auto home = RemoteHomeOf(slot);
    if (!home) return false;
    fleet_->Call(*home, "record", EncodeClaim(finished), kHomeTimeout,
                 [done](PeerStatus status, const QByteArray& body) {
                   done(status == PeerStatus::kOk && body == "stored");
                 });
    return true;
  };
  return calls;
}

void ClaimHomes::ServeClaim(const QByteArray& message,
                            const PeerNode::Reply& reply) {
  const auto claim = Capture([&] { return DecodeClaim(message); });
  if (std::holds_alternative<Error>(claim)) return reply({});
  claims_->ClaimLocally(std::get<Claim>(claim), ClaimOrigin::kRemoteDaemon,
                        [reply](const ClaimBatcher::Decision& decision) {
                          reply(EncodeDecision(decision));
                        });
}

void ClaimHomes::ServeRecord(const QByteArray& message,
                             const PeerNode::Reply& reply) {
  const auto claim = Capture([&] { return DecodeClaim(message); });
  if (std::holds_alternative<Error>(claim)) return reply({});
  claims_->RecordLocally(std::get<Claim>(claim), [reply] { reply("stored"); });
}

}  // namespace firmoor
