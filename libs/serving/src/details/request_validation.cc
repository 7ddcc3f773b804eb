#include "details/request_validation.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "base/hash.h"

namespace firmoor::details {
namespace {

constexpr std::string_view kServicesPrefix = "/services/";
constexpr Duration kAsyncDeadline{600'000};
constexpr std::size_t kMaxKeyBytes = 255;

bool IsModelPath(std::string_view path) {
  return path == "/v1/completions" || path == "/v1/chat/completions";
}

/// Splits "/services/NAME/rest?query" into the name and "/rest?query".
std::pair<std::string, std::string> SplitServiceTarget(
    const std::string& target) {
  const auto rest = target.substr(kServicesPrefix.size());
  const auto end = rest.find_first_of("/?");
  if (end == std::string::npos) return {rest, "/"};
  const auto tail = rest.substr(end);
  return {rest.substr(0, end), tail.starts_with('?') ? "/" + tail : tail};
}

Duration DeadlineOf(const Service& service, const JobSpec& spec) {
  const Duration max_time = spec.async ? kAsyncDeadline : service.deadline;
  const std::string header(
      HeaderValue(spec.request.headers, "Firmoor-Deadline-Ms"));
  if (header.empty()) return max_time;
  const Duration requested(std::atoll(header.c_str()));
  return std::clamp(requested, Duration(1), max_time);
}

Result<JobSpec> CheckModel(const Configuration& configuration, JobSpec spec) {
  if (spec.request.method != "POST") {
    return Fail(ResultCode::kMethodNotAllowed, "use POST");
  }
  const std::string path(spec.request.Path());
  BOOST_LEAF_AUTO(model, ModelRequest::Parse(path, spec.request.body));
  const auto* service = configuration.FindService(model.service);
  if (service == nullptr || service->kind != ServiceKind::kModel) {
    return Fail(ResultCode::kUnknownService,
                fmt::format("there is no model service {}", model.service));
  }
  spec.upstream_target = path;
  spec.traits = {true, service->priority};
  spec.model = std::move(model);
  spec.deadline = spec.accepted_at + DeadlineOf(*service, spec);
  return spec;
}

void AddClaim(const std::string& service, JobSpec* spec) {
  const std::string key(HeaderValue(spec->request.headers, "Idempotency-Key"));
  if (key.empty() || spec->traits.idempotent) return;
  Claim claim;
  claim.key =
      Hash128Hex(fmt::format("{}\n{}\n{}", spec->workspace.name, service, key));
  claim.body =
      Hash128Hex(fmt::format("{}\n{}\n{}", spec->request.method,
                             spec->request.target, spec->request.body));
  claim.attempt = spec->id;
  spec->claim = std::move(claim);
}

Result<JobSpec> CheckPlain(const Configuration& configuration, JobSpec spec) {
  const auto [name, target] = SplitServiceTarget(spec.request.target);
  const auto* service = configuration.FindService(name);
  if (service == nullptr || service->kind != ServiceKind::kPlain) {
    return Fail(ResultCode::kUnknownService,
                fmt::format("there is no plain service {}", name));
  }
  const auto key = HeaderValue(spec.request.headers, "Idempotency-Key");
  if (key.size() > kMaxKeyBytes) {
    return Fail(ResultCode::kMalformedRequest,
                "Idempotency-Key is longer than 255 bytes");
  }
  spec.upstream_target = target;
  const std::string_view full_target = target;
  const auto path = full_target.substr(0, full_target.find('?'));
  spec.traits = TraitsOf(*service, spec.request.method, path);
  spec.deadline = spec.accepted_at + DeadlineOf(*service, spec);
  AddClaim(name, &spec);
  return spec;
}

}  // namespace

std::string_view BearerToken(const HttpRequest& request) {
  constexpr std::string_view kScheme = "Bearer ";
  const auto value = HeaderValue(request.headers, "Authorization");
  return value.starts_with(kScheme) ? value.substr(kScheme.size())
                                    : std::string_view();
}

Result<std::string> ServiceOf(const JobSpec& spec) {
  if (spec.model) return spec.model->service;
  return SplitServiceTarget(spec.request.target).first;
}

Result<JobSpec> ValidateRequest(const Configuration& configuration,
                                const HttpRequest& request, JobSpec base) {
  base.request = request;
  base.async = HeaderValue(request.headers, "Prefer").find("respond-async") !=
               std::string_view::npos;
  const auto path = request.Path();
  if (IsModelPath(path)) return CheckModel(configuration, std::move(base));
  if (path.starts_with(kServicesPrefix)) {
    return CheckPlain(configuration, std::move(base));
  }
  return Fail(ResultCode::kUnknownService, "there is nothing at this path");
}

}  // namespace firmoor::details
