#include "dogwooddrum/protocol/Messages.h"

#include <array>

namespace dogwooddrum::protocol {

namespace {

constexpr std::array<const char*, 6> kJobStateNames = {
  "queued", "starting", "running", "finished", "failed", "cancelled"
};
constexpr std::array<const char*, 4> kAdjacencyNames = { "none",
                                                         "worker",
                                                         "rack",
                                                         "zone" };
constexpr std::array<const char*, 8> kTaskStateNames = {
  "prepared", "refused", "running", "checkpointed",
  "finished", "failed",  "stopped", "released"
};
constexpr std::array<const char*, 6> kTaskActionNames = {
  "prepare", "run", "release", "checkpoint", "throttle", "stop"
};

template<typename Enum, std::size_t N>
const char*
NameOf(const std::array<const char*, N>& aNames, Enum aValue)
{
  const auto i = static_cast<std::size_t>(aValue);
  return i < N ? aNames[i] : "invalid";
}

} // namespace

const char*
ToString(JobState aState)
{
  return NameOf(kJobStateNames, aState);
}

const char*
ToString(Adjacency aAdjacency)
{
  return NameOf(kAdjacencyNames, aAdjacency);
}

std::optional<Adjacency>
ParseAdjacency(const std::string& aName)
{
  for (std::size_t i = 0; i < kAdjacencyNames.size(); ++i) {
    if (aName == kAdjacencyNames[i]) {
      return static_cast<Adjacency>(i);
    }
  }
  return std::nullopt;
}

std::string
CheckpointName(const TaskKey& aKey)
{
  return std::to_string(aKey.mJob.Value()) + "." +
         std::to_string(aKey.mAttempt.Value()) + "." +
         std::to_string(aKey.mTask.Value());
}

const char*
ToString(TaskState aState)
{
  return NameOf(kTaskStateNames, aState);
}

const char*
ToString(TaskAction aVerb)
{
  return NameOf(kTaskActionNames, aVerb);
}

} // namespace dogwooddrum::protocol
