#include "dogwooddrum/coordination/jobs/JobState.h"

#include "dogwooddrum/base/Checksum.h"
#include "dogwooddrum/protocol/Codec.h"

#include <cstring>
#include <string_view>

namespace dogwooddrum::coordination::jobs {

namespace {

/** First bytes of a saved state; the digit is the format's version. */
constexpr std::string_view kMagic = "DWDJOBS3";

/** An earlier format. The present one appends containers to it, whose sizes are
 * 0 in a state of that format. */
struct EarlierFormat
{
  std::string_view mMagic;
  std::size_t mMissingContainers;
};
constexpr EarlierFormat kEarlierFormats[] = {
  { "DWDJOBS2", 3 }, // ends before workloads::State::Queues
  { "DWDJOBS2", 7 }, // ends before workloads::State::EvacuatedZones
  { "DWDJOBS1", 8 }, // ends before workloads::State::BoundTargets
};

/** Decodes the body of a saved state that begins with aMagic. */
base::Outcome<StateImage>
DecodeImage(std::string_view aMagic, const std::string& aBody)
{
  if (aMagic == kMagic) {
    return protocol::Decode<StateImage>(aBody);
  }
  for (const EarlierFormat& format : kEarlierFormats) {
    if (format.mMagic != aMagic) {
      continue;
    }
    const std::string sizes(format.mMissingContainers * sizeof(std::uint64_t),
                            '\0');
    if (auto image = protocol::Decode<StateImage>(aBody + sizes)) {
      image->mWorkloads.RegisterQueues();
      return image;
    }
  }
  return base::Failure{ base::Reason::MalformedFrame,
                        "unknown format " + std::string(aMagic) };
}

/** Returns the stored bytes of the job's answer or its attempt's parts. */
std::uint64_t
StoredAnswerBytesOf(const JobRecord& aJob)
{
  std::uint64_t bytes = aJob.mAnswer.size();
  if (aJob.mAttempt) {
    for (const TaskRecord& task : aJob.mAttempt->mTasks) {
      bytes += task.mAnswer.size();
    }
  }
  return bytes;
}

} // namespace

std::string
JobState::Save() const
{
  const std::string body = protocol::Encode(mImage);
  const std::uint64_t checksum = base::Checksum(body);
  std::string out(kMagic);
  out.append(reinterpret_cast<const char*>(&checksum), sizeof checksum);
  out += body;
  return out;
}

bool
JobState::Restore(const std::string& aBytes)
{
  std::string_view in(aBytes);
  std::uint64_t checksum = 0;
  if (in.size() < kMagic.size() + sizeof checksum) {
    return false;
  }
  const auto magic = in.substr(0, kMagic.size());
  in.remove_prefix(kMagic.size());
  std::memcpy(&checksum, in.data(), sizeof checksum);
  in.remove_prefix(sizeof checksum);
  if (base::Checksum(in) != checksum) {
    return false;
  }
  auto image = DecodeImage(magic, std::string(in));
  if (!image) {
    return false;
  }
  mImage = std::move(*image);
  RebuildIndexes();
  return true;
}

void
JobState::RebuildIndexes()
{
  mJobsByAccount.clear();
  mEndedJobsByTime.clear();
  mAcknowledgedJobs.clear();
  mDroppedKeysByTime.clear();
  mAnswerBytes = 0;
  mActiveJobs = 0;
  for (const auto& [id, job] : mImage.mJobs) {
    mJobsByAccount[job.mSpec.mAccount].insert(id);
    mAnswerBytes += StoredAnswerBytesOf(job);
    if (!HasEnded(job.mPhase)) {
      ++mActiveJobs;
      continue;
    }
    mEndedJobsByTime.emplace(job.mEndedMs, id);
    if (job.mAcknowledged) {
      mAcknowledgedJobs.insert(id);
    }
  }
  for (const auto& [name, key] : mImage.mKeys) {
    if (key.mDroppedMs > 0) {
      mDroppedKeysByTime.emplace(key.mDroppedMs, name);
    }
  }
}

const JobRecord*
JobState::Find(base::JobId aJob) const
{
  const auto it = mImage.mJobs.find(aJob);
  return it == mImage.mJobs.end() ? nullptr : &it->second;
}

const KeyRecord*
JobState::FindKey(const KeyName& aKey) const
{
  const auto it = mImage.mKeys.find(aKey);
  return it == mImage.mKeys.end() ? nullptr : &it->second;
}

const std::set<base::JobId>*
JobState::JobsOf(const base::AccountId& aAccount) const
{
  const auto it = mJobsByAccount.find(aAccount);
  return it == mJobsByAccount.end() ? nullptr : &it->second;
}

const protocol::ChangeOutcome*
JobState::FindOutcome(const base::ChangeId& aChange) const
{
  const auto it = mImage.mOutcomes.find(aChange);
  return it == mImage.mOutcomes.end() ? nullptr : &it->second;
}

bool
JobState::CanExpire(std::uint64_t aClockMs,
                    std::uint64_t aRetentionMs,
                    std::uint64_t aKeyRetentionMs) const
{
  return !mAcknowledgedJobs.empty() ||
         (!mEndedJobsByTime.empty() &&
          mEndedJobsByTime.begin()->first + aRetentionMs <= aClockMs) ||
         (!mDroppedKeysByTime.empty() &&
          mDroppedKeysByTime.begin()->first + aKeyRetentionMs <= aClockMs);
}

std::uint64_t
SpecChecksum(const protocol::JobSpec& aSpec)
{
  return base::Checksum(protocol::Encode(aSpec));
}

} // namespace dogwooddrum::coordination::jobs
