#ifndef TREFOILBEND_RPC_FWD_H_
#define TREFOILBEND_RPC_FWD_H_

namespace trefoilbend::rpc {

class Duty;

}  // namespace trefoilbend::rpc

#endif  // TREFOILBEND_RPC_FWD_H_
