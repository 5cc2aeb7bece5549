#ifndef TREFOILBEND_HTTP_FWD_H_
#define TREFOILBEND_HTTP_FWD_H_

namespace trefoilbend::http {

struct Address;
struct Request;
struct Response;
struct RequestError;

class Client;
class Server;

}  // namespace trefoilbend::http

#endif  // TREFOILBEND_HTTP_FWD_H_
