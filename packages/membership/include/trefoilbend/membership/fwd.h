#ifndef TREFOILBEND_MEMBERSHIP_FWD_H_
#define TREFOILBEND_MEMBERSHIP_FWD_H_

namespace trefoilbend::membership {

struct MemberRow;
struct MembershipLimits;
struct Peer;
struct View;

class MemberTable;
class MembershipDuty;

}  // namespace trefoilbend::membership

#endif  // TREFOILBEND_MEMBERSHIP_FWD_H_
