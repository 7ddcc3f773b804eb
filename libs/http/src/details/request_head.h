#ifndef FIRMOOR_HTTP_DETAILS_REQUEST_HEAD_H_
#define FIRMOOR_HTTP_DETAILS_REQUEST_HEAD_H_

#include <boost/beast/http/message.hpp>
#include <string>

#include "details/growing_string_body.h"
#include "http/message.h"

namespace firmoor::details {

/// The request without its body.
inline HttpRequest HeadOf(
    const boost::beast::http::request<GrowingStringBody>& message) {
  HttpRequest request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  for (const auto& field : message) {
    request.headers.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  }
  return request;
}

}  // namespace firmoor::details

#endif  // FIRMOOR_HTTP_DETAILS_REQUEST_HEAD_H_
