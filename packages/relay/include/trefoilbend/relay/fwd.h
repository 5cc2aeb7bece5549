#ifndef TREFOILBEND_RELAY_FWD_H_
#define TREFOILBEND_RELAY_FWD_H_

namespace trefoilbend::relay {

struct Listen;
struct PassCall;
struct ReplyCall;
struct CallReceived;
struct CallReturned;

class RelayDuty;

}  // namespace trefoilbend::relay

#endif  // TREFOILBEND_RELAY_FWD_H_
