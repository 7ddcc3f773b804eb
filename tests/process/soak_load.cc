#include "soak_load.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace firmoor {
namespace {

constexpr int kTokens = 40;
constexpr Duration kAsyncPatience{60'000};

}  // namespace

SoakLoad::SoakLoad(Cluster* cluster, std::mt19937_64* random,
                   SoakCounts* counts, std::function<int()> kills)
    : cluster_(cluster),
      random_(random),
      counts_(counts),
      kills_(std::move(kills)) {}

int SoakLoad::Pick(int low, int high) { return PickNumber(random_, low, high); }

std::size_t SoakLoad::AnyDaemon() {
  return static_cast<std::size_t>(
      Pick(0, static_cast<int>(cluster_->daemon_count()) - 1));
}

void SoakLoad::Settle() {
  WaitUntil(
      [this] {
        Reap();
        return running_.empty() && accepted_.empty();
      },
      90'000);
  for (const auto& accepted : accepted_) {
    Complain(&counts_->lost_accepted, "accepted " + accepted.prompt);
  }
}

void SoakLoad::StartRequest() {
  const auto number = next_++;
  const auto& to = cluster_->daemon(AnyDaemon()).endpoint;
  const auto id = fmt::format("work-{}", number);
  const int what = Pick(0, 99);
  if (what < 30) {
    Send("keyed", id, to, cluster_->Booking("key-" + id, id, RandomAct()));
    if (Pick(0, 2) == 0) recent_.push_back(id);
  } else if (what < 45 && !recent_.empty()) {
    const auto again = recent_[static_cast<std::size_t>(
        Pick(0, static_cast<int>(recent_.size()) - 1))];
    Send("retry", again, to, cluster_->Booking("key-" + again, again));
    if (recent_.size() > 50) recent_.erase(recent_.begin());
  } else if (what < 60) {
    Send("unkeyed", id, to, cluster_->Booking("", id, RandomAct()));
  } else if (what < 75) {
    Send("lookup", "", to, cluster_->Lookup());
  } else if (what < 92) {
    Send("stream", id, to, cluster_->Completion(id, kTokens, true));
  } else {
    Send("async", id, to, cluster_->Completion(id, kTokens, false, true));
  }
}

std::string SoakLoad::RandomAct() {
  const int what = Pick(0, 99);
  if (what < 60) return fmt::format("late:{}", Pick(1, 200));
  if (what < 64) return "die";
  if (what < 66) return "cut";
  if (what < 70) return "refuse";
  return "";
}

void SoakLoad::Send(const char* kind, const std::string& id, const Endpoint& to,
                    const HttpRequest& request) {
  ++counts_->requests[kind];
  const bool ran_before = !id.empty() && cluster_->HasRun(id);
  running_.push_back(
      {std::make_unique<Exchange>(to, request), kind, id, ran_before});
}

void SoakLoad::Reap() {
  std::erase_if(running_, [this](const Running& running) {
    if (!running.exchange->done()) return false;
    Judge(running);
    return true;
  });
  for (auto& accepted : accepted_) Follow(&accepted);
  std::erase_if(accepted_, [](const Accepted& accepted) {
    return accepted.location.empty();
  });
}

void SoakLoad::Judge(const Running& running) {
  const auto& result = running.exchange->result();
  const bool complete = result.end == HttpCallEnd::kComplete;
  const int status = complete ? result.answer.status : 0;
  const auto outcome = complete ? OutcomeOf(result) : "none";
  ++counts_->outcomes[fmt::format("{} {} {}", running.kind, status,
                                  outcome.empty() ? "ok" : outcome)];
  const bool booking = running.kind == "keyed" || running.kind == "retry" ||
                       running.kind == "unkeyed";
  if (booking) JudgeBooking(running, status, outcome);
  if (running.kind == "stream" && status == 200) JudgeStream(running);
  if (running.kind == "async" && status == 202) {
    accepted_.push_back(
        {running.id,
         std::string(HeaderValue(result.answer.headers, "Location")),
         MonotonicNow(), kills_(), nullptr});
  }
}

void SoakLoad::JudgeBooking(const Running& running, int status,
                            const std::string& outcome) {
  auto& work = works_[running.id];
  if (status == 200) {
    ++work.told_done;
    const auto& body = running.exchange->result().answer.body;
    if (!body.ends_with(" run 1 of " + running.id)) {
      Complain(&counts_->wrong_answers,
               fmt::format("booking {} got {}", running.id, body));
    }
  } else if (outcome == "not-run" && running.ran_before) {
    Complain(&counts_->false_not_run, "not-run, but ran before: " + running.id);
  } else if (outcome == "not-run" ||
             running.exchange->result().end == HttpCallEnd::kNotConnected) {
    ++work.told_not_run;
  } else {
    ++work.told_other;
  }
}

void SoakLoad::JudgeStream(const Running& running) {
  const auto& body = running.exchange->body();
  const auto words = StreamedWords(body);
  const auto expected = ExpectedWords(running.id, kTokens);
  const bool whole = body.ends_with("data: [DONE]\n\n");
  const bool prefix = words.size() <= expected.size() &&
                      std::equal(words.begin(), words.end(), expected.begin());
  if (!prefix || (whole && words != expected)) {
    Complain(&counts_->wrong_answers, "stream " + running.id);
  }
}

void SoakLoad::Follow(Accepted* accepted) {
  if (accepted->question && !accepted->question->done()) return;
  if (accepted->question) {
    const auto& result = accepted->question->result();
    // A daemon that starts or stops refuses the question itself; only an
    // answer that carries the request's id is the request's answer.
    const auto id = HeaderValue(result.answer.headers, "Firmoor-Request-Id");
    const bool answered = result.end == HttpCallEnd::kComplete &&
                          result.answer.status != 202 &&
                          result.answer.status != 404 && !id.empty() &&
                          accepted->location.ends_with(id);
    if (answered) return EndAccepted(accepted, result.answer);
    if (MonotonicNow() - accepted->since > kAsyncPatience) {
      return EndAccepted(accepted, {});
    }
  }
  accepted->question =
      std::make_unique<Exchange>(cluster_->daemon(AnyDaemon()).endpoint,
                                 cluster_->Question(accepted->location), 2'000);
}

void SoakLoad::EndAccepted(Accepted* accepted, const HttpResponse& answer) {
  std::string expected;
  for (const auto& word : ExpectedWords(accepted->prompt, kTokens)) {
    expected += word;
  }
  if (answer.status == 200) {
    ++counts_->outcomes["accepted answered"];
    if (answer.body.find(expected) == std::string::npos) {
      Complain(&counts_->wrong_answers, "accepted " + accepted->prompt);
    }
  } else if (answer.status == 0 && kills_() > accepted->kills_before) {
    // A daemon died without notice meanwhile: not an announced reclaim.
    ++counts_->excused_accepted;
  } else if (answer.status == 0) {
    Complain(&counts_->lost_accepted, "accepted " + accepted->prompt);
  } else {
    Complain(&counts_->lost_accepted,
             fmt::format("accepted {} ended with {} {}", accepted->prompt,
                         answer.status, answer.body));
  }
  accepted->location.clear();
}

void SoakLoad::RaceOperators() {
  const auto base = cluster_->VersionAt(AnyDaemon());
  ++races_;
  for (int i = 0; i < 2; ++i) {
    const auto body =
        fmt::format(R"({{"id":"race-{}-{}","base_version":{},"merge":)"
                    R"({{"services":{{"desk":{{"queue_limit":{}}}}}}}}})",
                    races_, i, base, Pick(50, 100));
    ++counts_->requests["patch"];
    running_.push_back({std::make_unique<Exchange>(
                            cluster_->daemon(AnyDaemon()).operators,
                            HttpRequest{"POST", "/config/patch", {}, body}),
                        "patch", "", false});
  }
}

void SoakLoad::Verify() {
  const auto runs = cluster_->JournalledRuns();
  for (const auto& [id, count] : runs) {
    if (count > 1) Complain(&counts_->keys_above_one, "ran twice: " + id);
  }
  for (const auto& [id, work] : works_) {
    const auto found = runs.find(id);
    const bool ran = found != runs.end();
    const bool all_not_run =
        work.told_not_run > 0 && work.told_done == 0 && work.told_other == 0;
    if (all_not_run && ran) {
      Complain(&counts_->false_not_run, "not-run, but ran: " + id);
    }
    if (work.told_done > 0 && !ran) {
      Complain(&counts_->wrong_answers, "done, but never ran: " + id);
    }
  }
}

}  // namespace firmoor
