#ifndef TREFOILBEND_ENTRY_FWD_H_
#define TREFOILBEND_ENTRY_FWD_H_

namespace trefoilbend::entry {

struct Settings;

class Entry;

}  // namespace trefoilbend::entry

#endif  // TREFOILBEND_ENTRY_FWD_H_
