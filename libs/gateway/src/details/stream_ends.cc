#include "details/stream_ends.h"

#include <fmt/format.h>

namespace firmoor::details {

std::string_view NameOf(StreamEndForm form) {
  constexpr std::string_view kNames[] = {"marked", "reset"};
  return kNames[static_cast<int>(form)];
}

std::string_view NameOf(StreamEndBasis basis) {
  constexpr std::string_view kNames[] = {"nothing",        "framing",
                                         "other-upstream", "earlier-streams",
                                         "close",          "other-daemon"};
  return kNames[static_cast<int>(basis)];
}

void StreamEndCounters::Count(StreamEndForm form, StreamEndBasis basis) {
  ++counts_.at(static_cast<std::size_t>(form))
        .at(static_cast<std::size_t>(basis));
}

void StreamEndCounters::CountDoubt(EndDoubt doubt) {
  ++doubts_.at(static_cast<std::size_t>(doubt));
}

void StreamEndCounters::CountClose(CloseOrigin origin) {
  ++closes_.at(static_cast<std::size_t>(origin));
}

std::string StreamEndCounters::Metrics() const {
  auto text = fmt::format("firmoor_stream_ends_awaited_total {}\n", awaited_);
  for (std::size_t doubt = 1; doubt < kDoubts; ++doubt) {
    text +=
        fmt::format("firmoor_stream_end_doubts_total{{doubt=\"{}\"}} {}\n",
                    NameOf(static_cast<EndDoubt>(doubt)), doubts_.at(doubt));
  }
  for (std::size_t index = 0; index < kOrigins; ++index) {
    const auto origin = static_cast<CloseOrigin>(index);
    if (!IsDecided(origin)) continue;
    text +=
        fmt::format("firmoor_departure_closes_total{{closed_by=\"{}\"}} {}\n",
                    NameOf(origin), closes_.at(index));
  }
  for (std::size_t form = 0; form < kForms; ++form) {
    for (std::size_t basis = 0; basis < kBases; ++basis) {
      text += fmt::format(
          "firmoor_stream_ends_total{{end=\"{}\",known_by=\"{}\"}} {}\n",
          NameOf(static_cast<StreamEndForm>(form)),
          NameOf(static_cast<StreamEndBasis>(basis)),
          counts_.at(form).at(basis));
    }
  }
  return text;
}

}  // namespace firmoor::details
