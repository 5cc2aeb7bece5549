#ifndef TREFOILBEND_PLATFORM_FWD_H_
#define TREFOILBEND_PLATFORM_FWD_H_

namespace trefoilbend::platform {

struct Row;
struct Condition;
struct Write;
struct Transaction;
struct Committed;
struct Conflict;
struct Unavailable;
struct ListedInstance;

struct LeaseHolder;
struct LeaseTimes;

class Backoff;
class Client;
class Lease;

}  // namespace trefoilbend::platform

#endif  // TREFOILBEND_PLATFORM_FWD_H_
