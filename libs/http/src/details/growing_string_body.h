#ifndef FIRMOOR_HTTP_DETAILS_GROWING_STRING_BODY_H_
#define FIRMOOR_HTTP_DETAILS_GROWING_STRING_BODY_H_

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <cstddef>
#include <cstdint>
#include <string>

namespace firmoor::details {

/// A Boost.Beast body that grows with the bytes that arrive. In contrast to
/// `string_body` it reserves nothing for the length that the peer announces.
struct GrowingStringBody {
  using value_type = std::string;

  // Boost.Beast finds the class by this name.
  class reader {  // NOLINT(readability-identifier-naming)
   public:
    template <bool is_request, class Fields>
    reader(boost::beast::http::header<is_request, Fields>&, value_type& body)
        : body_(body) {}
    void init(const boost::optional<std::uint64_t>&,
              boost::beast::error_code& error) {
      error = {};
    }
    template <class ConstBuffers>
    std::size_t put(const ConstBuffers& buffers,
                    boost::beast::error_code& error) {
      error = {};
      std::size_t taken = 0;
      for (const auto& buffer : boost::beast::buffers_range_ref(buffers)) {
        Reserve(body_.size() + buffer.size());
        body_.append(static_cast<const char*>(buffer.data()), buffer.size());
        taken += buffer.size();
      }
      return taken;
    }
    void finish(boost::beast::error_code& error) { error = {}; }

   private:
    /// Grows by less than the string itself would, which doubles.
    void Reserve(std::size_t bytes) {
      constexpr std::size_t kGrowthDivisor = 4;
      if (bytes <= body_.capacity()) return;
      const auto least = body_.size() + body_.size() / kGrowthDivisor;
      // `reserve` may double as well where it copies.
      std::string larger;
      larger.reserve(std::max(bytes, least));
      larger.append(body_);
      body_.swap(larger);
    }

    value_type& body_;
  };
};

}  // namespace firmoor::details

#endif  // FIRMOOR_HTTP_DETAILS_GROWING_STRING_BODY_H_
