#ifndef TREFOILBEND_ROLLOUT_FWD_H_
#define TREFOILBEND_ROLLOUT_FWD_H_

namespace trefoilbend::rollout {

struct ReleaseId;

class VersionChooser;

}  // namespace trefoilbend::rollout

#endif  // TREFOILBEND_ROLLOUT_FWD_H_
