#ifndef TREFOILBEND_ADMISSION_FWD_H_
#define TREFOILBEND_ADMISSION_FWD_H_

namespace trefoilbend::admission {

struct QueuedCall;
struct QueueLimits;

class Queue;

}  // namespace trefoilbend::admission

#endif  // TREFOILBEND_ADMISSION_FWD_H_
