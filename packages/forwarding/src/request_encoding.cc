#include "internal/request_encoding.h"

#include <chrono>
#include <string>

namespace trefoilbend::forwarding::internal {

namespace {

namespace beast = boost::beast;

constexpr unsigned kHttp11 = 11;

}  // namespace

EncodedRequest Encode(const StartExchange& order,
                      const TargetProtocol& protocol,
                      const core::TimePoint now) {
  const core::CallRequest& request = *order.request;
  EncodedRequest message;
  message.version(kHttp11);
  message.method_string(request.method);
  message.target(request.path);
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      request.deadline - now);
  core::Fields fields = request.fields;
  protocol.Prepare(order, left, fields);
  for (const auto& [name, value] : fields) {
    message.insert(name, value);
  }
  message.set(beast::http::field::host,
              request.host.empty() ? request.service.Text() : request.host);
  if (order.resume) {
    message.set(beast::http::field::range,
                "bytes=" + std::to_string(order.resume->offset) + '-');
    message.set(beast::http::field::if_range, order.resume->validator);
  }
  message.body() = {request.body.data(), request.body.size()};
  if (message.method() == beast::http::verb::trace) {
    // Beast throws for a TRACE request with content.
    message.content_length(request.body.size());
  } else {
    message.prepare_payload();
  }
  return message;
}

}  // namespace trefoilbend::forwarding::internal
