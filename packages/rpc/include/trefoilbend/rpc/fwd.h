#ifndef TREFOILBEND_RPC_FWD_H_
#define TREFOILBEND_RPC_FWD_H_

namespace trefoilbend::rpc {

class Duty;
class Listener;

template <typename Interface>
class Link;

}  // namespace trefoilbend::rpc

#endif  // TREFOILBEND_RPC_FWD_H_
