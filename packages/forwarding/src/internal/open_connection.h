#ifndef TREFOILBEND_FORWARDING_INTERNAL_OPEN_CONNECTION_H_
#define TREFOILBEND_FORWARDING_INTERNAL_OPEN_CONNECTION_H_

#include <boost/beast/core/tcp_stream.hpp>
#include <boost/system/error_code.hpp>
#include <functional>

#include "trefoilbend/http/address.h"

namespace trefoilbend::forwarding::internal {

/**
 * @brief Opens a connection to a target, on which small messages are not held
 * back.
 * @param stream Connection to open; its expiry bounds the attempt.
 * @param address Address of the target.
 * @param done Called with the error, if there was one.
 */
void OpenConnection(boost::beast::tcp_stream& stream,
                    const http::Address& address,
                    std::function<void(boost::system::error_code)> done);

}  // namespace trefoilbend::forwarding::internal

#endif  // TREFOILBEND_FORWARDING_INTERNAL_OPEN_CONNECTION_H_
