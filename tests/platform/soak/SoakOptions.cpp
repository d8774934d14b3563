#include "tests/platform/soak/SoakOptions.h"

#include <cstdio>
#include <cstdlib>
#include <map>

namespace dogwooddrum::tests {

namespace {

constexpr const char* kUsage =
  "usage: Soak SEED SECONDS [name=value...]\n"
  "  controls=3|5         control members\n"
  "  agents=4..60         agents, each with a target\n"
  "  seeds=initial|operator   control addresses in the settings\n"
  "  random=0|1           random faults of processes and links (1)\n"
  "  power=0|1            random losses of all power, and replacements (0)\n"
  "  final=0|1            lose all power after the last configuration (0)\n"
  "  wiped=0..2           disks lost in the final fault\n"
  "  targets=0|1          targets restart in the final fault (0)\n"
  "  down=MS              time without power, the most in random losses\n"
  "  spread=MS            time in which all processes start then (300)\n"
  "  list=usual|empty|wiped|stale   control addresses at the first start\n"
  "  replace=none|plain|leader|planned|twice   before the final fault\n"
  "  settle=MS            from the last replacement to the final fault\n";

template<typename T>
bool
Choose(const std::map<std::string, T>& aChoices,
       const std::string& aText,
       T& aValue)
{
  const auto it = aChoices.find(aText);
  if (it != aChoices.end()) {
    aValue = it->second;
  }
  return it != aChoices.end();
}

template<typename T>
bool
ReadNumber(const std::string& aText, long long aMin, long long aMax, T& aValue)
{
  char* end = nullptr;
  const auto number = std::strtoll(aText.c_str(), &end, 10);
  aValue = static_cast<T>(number);
  return !aText.empty() && *end == '\0' && number >= aMin && number <= aMax;
}

bool
ReadOption(const std::string& aName,
           const std::string& aText,
           SoakOptions& aOptions)
{
  if (aName == "controls") {
    return ReadNumber(aText, 3, 5, aOptions.mControls) &&
           aOptions.mControls != 4;
  }
  if (aName == "agents") {
    return ReadNumber(aText, 4, 60, aOptions.mAgents);
  }
  if (aName == "seeds") {
    return Choose<SeedList>(
      { { "initial", SeedList::Initial }, { "operator", SeedList::Operator } },
      aText,
      aOptions.mSeeds);
  }
  if (aName == "random") {
    return ReadNumber(aText, 0, 1, aOptions.mRandomFaults);
  }
  if (aName == "power") {
    return ReadNumber(aText, 0, 1, aOptions.mPowerFaults);
  }
  if (aName == "final") {
    return ReadNumber(aText, 0, 1, aOptions.mFinalPowerLoss);
  }
  if (aName == "wiped") {
    return ReadNumber(aText, 0, 2, aOptions.mWiped);
  }
  if (aName == "targets") {
    return ReadNumber(aText, 0, 1, aOptions.mRestartTargets);
  }
  if (aName == "down") {
    return ReadNumber(aText, 1000, 60000, aOptions.mDownMs);
  }
  if (aName == "spread") {
    return ReadNumber(aText, 0, 60000, aOptions.mSpreadMs);
  }
  if (aName == "settle") {
    return ReadNumber(aText, 0, 60000, aOptions.mSettleMs);
  }
  if (aName == "list") {
    return Choose<RestartList>({ { "usual", RestartList::Usual },
                                 { "empty", RestartList::Empty },
                                 { "wiped", RestartList::Wiped },
                                 { "stale", RestartList::Stale } },
                               aText,
                               aOptions.mRestartList);
  }
  return aName == "replace" &&
         Choose<Replacement>({ { "none", Replacement::None },
                               { "plain", Replacement::Plain },
                               { "leader", Replacement::Leader },
                               { "planned", Replacement::Planned },
                               { "twice", Replacement::Twice } },
                             aText,
                             aOptions.mReplacement);
}

} // namespace

std::optional<SoakOptions>
ReadSoakOptions(int aCount, char** aArguments)
{
  SoakOptions options;
  bool valid = aCount >= 3 &&
               ReadNumber(aArguments[1], 0, 1LL << 62, options.mSeed) &&
               ReadNumber(aArguments[2], 0, 1 << 20, options.mSeconds);
  for (int i = 3; valid && i < aCount; ++i) {
    const std::string text = aArguments[i];
    const auto equals = text.find('=');
    valid =
      equals != std::string::npos &&
      ReadOption(text.substr(0, equals), text.substr(equals + 1), options);
  }
  if (!valid || options.mWiped > options.mControls / 2) {
    std::fputs(kUsage, stderr);
    return std::nullopt;
  }
  return options;
}

} // namespace dogwooddrum::tests
