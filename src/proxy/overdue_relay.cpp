#include "src/proxy/overdue_relay.h"

#include "src/http/http.h"

namespace puffinvane {

namespace {
constexpr std::size_t kLongBodyBytes = HttpReader::kMaxBodyBytes;
// Bytes a second, on average since the first byte: a quarter of what clients sustain. Over less time than the
// period the average means little.
constexpr double kMinRate = 8 * 1024;
constexpr double kMinRatePeriodSeconds = 0.3;

// With bytes this recent, a low rate is that of an endpoint that sends a few now and then.
constexpr double kPieceSeconds = 0.2;

// By its declared length the response is long.
constexpr double kMaxSilenceOfDeclaredSeconds = 2;

// Without a declared length. An answer counts as lost half a second after its time; until shortly before that
// any silence may be the pause between two pieces of a long response.
constexpr double kMaxOverdueSeconds = 0.4;
// Bytes a second: the platform's slowest for a long body, less a margin for when pieces are written.
constexpr double kLongBodyRate = 60'000;

bool is_slower_than(double bytes_per_s, const RelayProgress& progress) {
  return double(progress.received_bytes) < bytes_per_s * progress.elapsed_s;
}

bool is_trickling(const RelayProgress& progress) {
  return progress.silent_s < kPieceSeconds && progress.elapsed_s > kMinRatePeriodSeconds &&
         is_slower_than(kMinRate, progress);
}

bool has_stopped(const RelayProgress& progress) {
  if (progress.declared_bytes.value_or(0) > kLongBodyBytes)
    return progress.silent_s >= kMaxSilenceOfDeclaredSeconds;
  // Whether it is short or long isn't known. It counts as long for as long as what has arrived keeps the rate
  // of a long one, which is about a second at most.
  return progress.overdue_s >= kMaxOverdueSeconds && is_slower_than(kLongBodyRate, progress);
}
}  // namespace

RelayVerdict judge_overdue_relay(const RelayProgress& progress) {
  if (progress.received_bytes > kLongBodyBytes) return RelayVerdict::Settled;
  return is_trickling(progress) || has_stopped(progress) ? RelayVerdict::GiveUp : RelayVerdict::Continue;
}

}  // namespace puffinvane
