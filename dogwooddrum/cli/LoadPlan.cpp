#include "dogwooddrum/cli/LoadPlan.h"

#include "dogwooddrum/protocol/Messages.h"

#include <charconv>
#include <map>
#include <sstream>
#include <variant>

namespace dogwooddrum::cli {

namespace {

using LoadClassMember = std::variant<double LoadClass::*,
                                     std::string LoadClass::*,
                                     std::uint64_t LoadClass::*,
                                     bool LoadClass::*>;

const std::map<std::string, LoadClassMember>&
LoadClassMembers()
{
  static const std::map<std::string, LoadClassMember> members = {
    { "weight", &LoadClass::mWeight },
    { "account", &LoadClass::mAccount },
    { "profile", &LoadClass::mProfile },
    { "tasks", &LoadClass::mTasks },
    { "accelerators", &LoadClass::mAccelerators },
    { "adjacency", &LoadClass::mAdjacency },
    { "repeatable", &LoadClass::mRepeatable },
    { "run_ms", &LoadClass::mRunMs },
    { "bytes", &LoadClass::mPayloadBytes },
  };
  return members;
}

/** Parses mText into a member of mDestination; returns false if the text is not
 * a value of the member's type. */
struct StoreMember
{
  LoadClass& mDestination;
  const std::string& mText;

  bool operator()(std::string LoadClass::*aMember) const
  {
    mDestination.*aMember = mText;
    return !mText.empty();
  }
  bool operator()(bool LoadClass::*aMember) const
  {
    mDestination.*aMember = mText == "true";
    return mText == "true" || mText == "false";
  }
  template<typename T>
  bool operator()(T LoadClass::*aMember) const
  {
    const char* const end = mText.data() + mText.size();
    const auto result =
      std::from_chars(mText.data(), end, mDestination.*aMember);
    return result.ec == std::errc() && result.ptr == end &&
           mDestination.*aMember >= 0;
  }
};

base::Failure
InvalidClass(const std::string& aText, const std::string& aPart)
{
  std::string known;
  for (const auto& [name, member] : LoadClassMembers()) {
    known += (known.empty() ? "" : ", ") + name;
  }
  return { base::Reason::InvalidRequest,
           "class \"" + aText + "\": \"" + aPart +
             "\" is not NAME=VALUE with a name of " + known +
             " and a value of its type" };
}

std::discrete_distribution<std::size_t>
MakeClassDistribution(const std::vector<LoadClass>& aMix)
{
  std::vector<double> weights;
  weights.reserve(aMix.size());
  for (const LoadClass& loadClass : aMix) {
    weights.push_back(loadClass.mWeight);
  }
  return { weights.begin(), weights.end() };
}

} // namespace

base::Outcome<LoadClass>
ParseLoadClass(const std::string& aText)
{
  LoadClass loadClass;
  std::istringstream parts(aText);
  for (std::string part; std::getline(parts, part, ',');) {
    const auto equals = part.find('=');
    const auto member = LoadClassMembers().find(part.substr(0, equals));
    if (equals == std::string::npos || member == LoadClassMembers().end() ||
        !std::visit(StoreMember{ loadClass, part.substr(equals + 1) },
                    member->second)) {
      return InvalidClass(aText, part);
    }
  }
  if (loadClass.mAccount.empty() || loadClass.mProfile.empty()) {
    return InvalidClass(aText,
                        loadClass.mAccount.empty() ? "account" : "profile");
  }
  if (!protocol::ParseAdjacency(loadClass.mAdjacency)) {
    return InvalidClass(aText, "adjacency=" + loadClass.mAdjacency);
  }
  return loadClass;
}

LoadPlan::LoadPlan(const LoadPlanOptions& aOptions)
  : mOptions(aOptions)
  , mRandom(aOptions.mSeed)
  , mClassDistribution(MakeClassDistribution(aOptions.mMix))
{
}

std::optional<LoadRequest>
LoadPlan::NextRequest()
{
  if (mNextNumber >= mOptions.mCount) {
    return std::nullopt;
  }
  LoadRequest request;
  request.mNumber = mNextNumber++;
  request.mClassIndex = mClassDistribution(mRandom);
  request.mNonce = mRandom();
  if (mOptions.mArrivals == Arrivals::Poisson) {
    std::exponential_distribution<double> gap(mOptions.mRate);
    mArrivalSeconds += gap(mRandom);
    request.mArrivalTime = std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(mArrivalSeconds));
  }
  return request;
}

} // namespace dogwooddrum::cli
