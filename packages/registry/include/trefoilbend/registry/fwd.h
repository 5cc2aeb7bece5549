#ifndef TREFOILBEND_REGISTRY_FWD_H_
#define TREFOILBEND_REGISTRY_FWD_H_

namespace trefoilbend::registry {

struct DesiredState;
struct TargetRecord;
struct ReleaseOrder;
struct EvacuationOrder;
struct Options;
struct Outlets;

class Catalogue;
class RegistryDuty;
class RowCodec;

}  // namespace trefoilbend::registry

#endif  // TREFOILBEND_REGISTRY_FWD_H_
