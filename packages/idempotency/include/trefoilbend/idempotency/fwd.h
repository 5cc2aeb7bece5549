#ifndef TREFOILBEND_IDEMPOTENCY_FWD_H_
#define TREFOILBEND_IDEMPOTENCY_FWD_H_

namespace trefoilbend::idempotency {

class ClaimSweep;
struct Home;
struct Key;
struct RequestDigest;
struct KeyTableOptions;
struct RunCall;
struct AwaitRun;
struct ReplayResult;
struct KeyRefused;

class KeyTable;

}  // namespace trefoilbend::idempotency

#endif  // TREFOILBEND_IDEMPOTENCY_FWD_H_
