#include "details/attempts_in_flight.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace firmoor::details {

void AttemptsInFlight::Add(std::shared_ptr<UpstreamAttempt> attempt) {
  attempts_.push_back(std::move(attempt));
}

void AttemptsInFlight::Add(int number, DelegatedAttempt attempt) {
  delegated_.emplace(number, std::move(attempt));
}

std::shared_ptr<UpstreamAttempt> AttemptsInFlight::Find(int number) const {
  const auto found = std::find_if(
      attempts_.begin(), attempts_.end(),
      [&](const auto& attempt) { return attempt->number() == number; });
  return found == attempts_.end() ? nullptr : *found;
}

DelegatedAttempt* AttemptsInFlight::FindDelegated(int number) {
  const auto found = delegated_.find(number);
  return found == delegated_.end() ? nullptr : &found->second;
}

bool AttemptsInFlight::HasAttemptAt(const std::string& upstream) const {
  return std::any_of(
      attempts_.begin(), attempts_.end(),
      [&](const auto& attempt) { return attempt->upstream().id == upstream; });
}

std::shared_ptr<UpstreamAttempt> AttemptsInFlight::Remove(int number) {
  auto attempt = Find(number);
  if (!attempt) return nullptr;
  std::erase(attempts_, attempt);
  if (attempt->end()) last_ended_ = attempt;
  attempt->Cancel();
  return attempt;
}

std::optional<DelegatedAttempt> AttemptsInFlight::RemoveDelegated(int number) {
  auto node = delegated_.extract(number);
  if (node.empty()) return std::nullopt;
  return std::move(node.mapped());
}

bool AttemptsInFlight::HasBegunEvent() const {
  return std::any_of(
      attempts_.begin(), attempts_.end(),
      [](const auto& attempt) { return attempt->HasBegunEvent(); });
}

void AttemptsInFlight::SetPaused(bool paused) {
  for (const auto& attempt : attempts_) {
    if (attempt->head()) attempt->SetPaused(paused);
  }
  for (const auto& [number, attempt] : delegated_) {
    if (attempt.head) attempt.stream->SetPaused(paused);
  }
}

std::optional<int> AttemptsInFlight::AnyDelegated() const {
  if (delegated_.empty()) return std::nullopt;
  return delegated_.begin()->first;
}

int AttemptsInFlight::SentToUpstreams() const {
  return static_cast<int>(std::count_if(
      attempts_.begin(), attempts_.end(),
      [](const auto& attempt) { return attempt->MayHaveBeenSent(); }));
}

bool AttemptsInFlight::IsSent() const {
  return SentToUpstreams() > 0 ||
         std::any_of(delegated_.begin(), delegated_.end(),
                     [](const auto& item) {
                       return item.second.stream->MayHaveBeenSent();
                     });
}

const UpstreamAttempt* AttemptsInFlight::Shown() const {
  return attempts_.empty() ? last_ended_.get() : attempts_.front().get();
}

std::string AttemptsInFlight::Describe(TimePoint now) const {
  std::string text;
  const auto add = [&](const std::string& name, Duration silent) {
    text +=
        fmt::format("{}{}:{}", text.empty() ? "" : " ", name, silent.count());
  };
  for (const auto& attempt : attempts_) {
    add(attempt->upstream().id, now - attempt->last_byte_at());
  }
  for (const auto& [number, delegated] : delegated_) {
    add(delegated.peer.daemon, now - delegated.last_message_at);
  }
  return text;
}

}  // namespace firmoor::details
