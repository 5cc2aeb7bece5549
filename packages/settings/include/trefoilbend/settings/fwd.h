#ifndef TREFOILBEND_SETTINGS_FWD_H_
#define TREFOILBEND_SETTINGS_FWD_H_

namespace trefoilbend::settings {

struct Mistake;

class Document;
class Section;

}  // namespace trefoilbend::settings

#endif  // TREFOILBEND_SETTINGS_FWD_H_
