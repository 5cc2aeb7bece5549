#ifndef TREFOILBEND_PLATFORM_FWD_H_
#define TREFOILBEND_PLATFORM_FWD_H_

namespace trefoilbend::platform {

struct Row;
struct FoundRow;
struct Condition;
struct Write;
struct Transaction;
struct Committed;
struct Conflict;
struct Unavailable;
struct TableState;
struct RowChange;
struct TableChanges;
struct HistoryLost;
struct ListedInstance;

struct LeaseHolder;
struct LeaseTimes;

class Backoff;
class Client;
class Lease;
class Store;
class WatchedStore;

}  // namespace trefoilbend::platform

#endif  // TREFOILBEND_PLATFORM_FWD_H_
