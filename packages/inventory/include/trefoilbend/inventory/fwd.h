#ifndef TREFOILBEND_INVENTORY_FWD_H_
#define TREFOILBEND_INVENTORY_FWD_H_

namespace trefoilbend::inventory {

struct DataCentre;
struct Service;
struct Instance;
struct Route;
struct Outage;
struct Release;
struct ReleaseRule;
struct ObjectKey;
struct Change;
struct Revised;

enum class SnapshotProblem : unsigned char;

class Configuration;
class VersionRoles;

}  // namespace trefoilbend::inventory

#endif  // TREFOILBEND_INVENTORY_FWD_H_
