#include "src/proxy/overdue_relay.h"

#include "src/http/http.h"

namespace puffinvane {

namespace {
constexpr std::size_t kLongBodyBytes = HttpReader::kMaxBodyBytes;
// Bytes a second, on average since the first byte: a quarter of what clients sustain. Over less time than the
// period the average means little.
constexpr double kMinRate = 8 * 1024;
constexpr double kMinRatePeriodSeconds = 0.3;

// By its declared length the response is long.
constexpr double kMaxSilenceOfDeclaredSeconds = 2;

// Without a declared length. Until an answer counts as lost, half a second after its time, a pause may be one
// between two pieces of a long response.
constexpr double kMaxSilenceSeconds = 0.6;
constexpr double kOverdueSeconds = 0.4;
constexpr double kMaxSilenceWhenOverdueSeconds = 0.2;

bool is_slow(const RelayProgress& progress) {
  return progress.elapsed_s > kMinRatePeriodSeconds &&
         double(progress.received_bytes) < kMinRate * progress.elapsed_s;
}

double max_silence_s(const RelayProgress& progress) {
  if (progress.declared_bytes.value_or(0) > kLongBodyBytes) return kMaxSilenceOfDeclaredSeconds;
  return progress.overdue_s >= kOverdueSeconds ? kMaxSilenceWhenOverdueSeconds : kMaxSilenceSeconds;
}
}  // namespace

RelayVerdict judge_overdue_relay(const RelayProgress& progress) {
  if (progress.received_bytes > kLongBodyBytes) return RelayVerdict::Settled;
  const bool is_given_up = is_slow(progress) || progress.silent_s >= max_silence_s(progress);
  return is_given_up ? RelayVerdict::GiveUp : RelayVerdict::Continue;
}

}  // namespace puffinvane
