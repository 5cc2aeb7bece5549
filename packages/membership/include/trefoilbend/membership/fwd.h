#ifndef TREFOILBEND_MEMBERSHIP_FWD_H_
#define TREFOILBEND_MEMBERSHIP_FWD_H_

namespace trefoilbend::membership {

struct Peer;
struct View;

}  // namespace trefoilbend::membership

#endif  // TREFOILBEND_MEMBERSHIP_FWD_H_
