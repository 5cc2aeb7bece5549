#ifndef TREFOILBEND_DISCOVERY_FWD_H_
#define TREFOILBEND_DISCOVERY_FWD_H_

namespace trefoilbend::discovery {

struct DirectoryQuery;
struct DirectoryAnswer;
struct DirectoryOptions;

class Directory;

}  // namespace trefoilbend::discovery

#endif  // TREFOILBEND_DISCOVERY_FWD_H_
