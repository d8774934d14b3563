#include "dogwooddrum/protocol/WorkloadMessages.h"

#include "dogwooddrum/protocol/CodecTemplates.h"

#include <array>

namespace dogwooddrum::protocol {

namespace {

constexpr std::array<const char*, 8> kRunEndNames = {
  "done",   "failed", "stopped",   "lapsed",
  "broken", "alone",  "never_ran", "target_gone"
};
constexpr std::array<const char*, 5> kPhaseNames = { "queued",
                                                     "running",
                                                     "complete",
                                                     "failed",
                                                     "cancelled" };

} // namespace

const char*
ToString(RunEnd aEnd)
{
  const auto i = static_cast<std::size_t>(aEnd);
  return i < kRunEndNames.size() ? kRunEndNames.at(i) : "invalid";
}

const char*
ToString(WorkloadPhase aPhase)
{
  const auto i = static_cast<std::size_t>(aPhase);
  return i < kPhaseNames.size() ? kPhaseNames.at(i) : "invalid";
}

} // namespace dogwooddrum::protocol

DOGWOODDRUM_CODEC(dogwooddrum::protocol::WorkloadRequest);
DOGWOODDRUM_CODEC(dogwooddrum::protocol::WorkloadReply);
DOGWOODDRUM_CODEC(dogwooddrum::protocol::WorkerReport);
DOGWOODDRUM_CODEC(dogwooddrum::protocol::WorkerOrders);
DOGWOODDRUM_CODEC(dogwooddrum::protocol::JoinRequest);
DOGWOODDRUM_CODEC(dogwooddrum::protocol::LeaveRequest);
DOGWOODDRUM_CODEC(dogwooddrum::protocol::LeaveReply);
