#include "dogwooddrum/cli/DuplicateRuns.h"

#include "dogwooddrum/transport/HttpClient.h"

#include <nlohmann/json.hpp>

#include <cstdlib>
#include <set>
#include <tuple>

namespace dogwooddrum::cli {

namespace {

constexpr base::Duration kReadTimeout = base::Milliseconds(30000);
/** Response limit above the default, for lists of many runs. */
constexpr std::uint64_t kMaxRunsBytes = 512ULL << 20;

/** Reads a number that may be text, because the stand-in target copies the
 * values from its URL. */
std::uint64_t
ReadNumber(const nlohmann::json& aRun, const char* aName)
{
  const auto value = aRun.find(aName);
  if (value == aRun.end()) {
    return 0;
  }
  return value->is_string()
           ? std::strtoull(value->get<std::string>().c_str(), nullptr, 10)
           : value->get<std::uint64_t>();
}

bool
FetchRuns(const service::Address& aTarget, std::vector<TargetRun>& aRuns)
{
  transport::HttpClient client({ aTarget.mIp, aTarget.mPort, kMaxRunsBytes });
  transport::HttpRequest request;
  request.mTarget = "/runs";
  const auto response = client.Call(request, kReadTimeout);
  if (!response || response->mStatus != 200) {
    return false;
  }
  auto body = nlohmann::json::parse(response->mBody, nullptr, false);
  if (body.is_object() && body.contains("runs")) {
    body = nlohmann::json(body["runs"]);
  }
  if (!body.is_array()) {
    return false;
  }
  for (const auto& run : body) {
    aRuns.push_back({ ReadNumber(run, "job"),
                      ReadNumber(run, "attempt"),
                      ReadNumber(run, "task") });
  }
  return true;
}

} // namespace

std::vector<std::string>
FindDuplicateRuns(const std::vector<TargetRun>& aRuns,
                  const JobRepeatability& aJobs)
{
  std::set<std::tuple<std::uint64_t, std::uint64_t, std::uint64_t>> seen;
  std::vector<std::string> doubled;
  for (const TargetRun& run : aRuns) {
    const auto job = aJobs.find(run.mJob);
    if (job == aJobs.end()) {
      continue;
    }
    const std::uint64_t attempt = job->second ? run.mAttempt : 0;
    if (!seen.emplace(run.mJob, attempt, run.mTask).second) {
      doubled.push_back("job " + std::to_string(run.mJob) + " attempt " +
                        std::to_string(run.mAttempt) + " task " +
                        std::to_string(run.mTask));
    }
  }
  return doubled;
}

void
CheckTargetRuns(const std::vector<service::Address>& aTargets,
                const JobRepeatability& aJobs,
                LoadResults& aResults)
{
  std::vector<TargetRun> runs;
  for (const service::Address& target : aTargets) {
    if (!FetchRuns(target, runs)) {
      aResults.mExamples.push_back("runs of target " + ToString(target) +
                                   " cannot be read");
    }
  }
  const auto doubled = FindDuplicateRuns(runs, aJobs);
  aResults.mDoubled += doubled.size();
  for (const std::string& run : doubled) {
    if (aResults.mExamples.size() < kMaxExamples) {
      aResults.mExamples.push_back("doubled: " + run);
    }
  }
}

} // namespace dogwooddrum::cli
