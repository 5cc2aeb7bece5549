#ifndef TREFOILBEND_FEED_FWD_H_
#define TREFOILBEND_FEED_FWD_H_

namespace trefoilbend::feed {

struct Answer;
struct Ask;
struct Candidate;
struct Confirmation;
struct Learnt;
struct Options;

class FeedDuty;
class SourcePlan;
class TableImage;

}  // namespace trefoilbend::feed

#endif  // TREFOILBEND_FEED_FWD_H_
