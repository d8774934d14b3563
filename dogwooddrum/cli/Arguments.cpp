#include "dogwooddrum/cli/Arguments.h"

#include <popt.h>

#include <charconv>
#include <cstdio>
#include <cstdlib>
#include <memory>

namespace dogwooddrum::cli {

namespace {

constexpr int kHelpOptionId = 1;
constexpr int kFirstOptionId = 2; ///< id of the first option in the popt table

using PoptContextPtr =
  std::unique_ptr<poptContext_s, poptContext (*)(poptContext)>;

/** Parses mText into an option's variable; returns false if the text is not a
 * value of the variable's type. */
struct StoreOptionValue
{
  const std::string& mText;

  bool operator()(bool* aDestination) const
  {
    *aDestination = true;
    return true;
  }
  bool operator()(std::string* aDestination) const
  {
    *aDestination = mText;
    return true;
  }
  bool operator()(std::vector<std::string>* aDestination) const
  {
    aDestination->push_back(mText);
    return true;
  }
  template<typename T>
  bool operator()(T* aDestination) const
  {
    const char* const end = mText.data() + mText.size();
    const auto result = std::from_chars(mText.data(), end, *aDestination);
    return !mText.empty() && result.ec == std::errc() && result.ptr == end;
  }
};

const char*
DescribeType(const OptionDestination& aDestination)
{
  if (std::holds_alternative<std::uint64_t*>(aDestination)) {
    return "a number of 0 or more";
  }
  if (std::holds_alternative<std::int64_t*>(aDestination)) {
    return "an integer";
  }
  return "a number";
}

std::vector<poptOption>
MakePoptTable(const std::vector<Option>& aOptions)
{
  std::vector<poptOption> table;
  int value = kFirstOptionId;
  for (const Option& option : aOptions) {
    const bool flag = std::holds_alternative<bool*>(option.mDestination);
    table.push_back(
      { option.mName.c_str(),
        option.mShortName,
        static_cast<unsigned>(flag ? POPT_ARG_NONE : POPT_ARG_STRING),
        nullptr,
        value++,
        option.mHelp.c_str(),
        flag ? nullptr : option.mValueName.c_str() });
  }
  table.push_back({ "help",
                    'h',
                    POPT_ARG_NONE,
                    nullptr,
                    kHelpOptionId,
                    "Show this help",
                    nullptr });
  table.push_back(POPT_TABLEEND);
  return table;
}

void
PrintHelp(const CommandHelp& aHelp, poptContext aContext)
{
  std::printf("%s\n\n", aHelp.mSummary.c_str());
  poptPrintHelp(aContext, stdout, 0);
  std::printf("\nExamples:\n");
  for (const std::string& example : aHelp.mExamples) {
    std::printf("  dogwooddrum %s%s%s\n",
                aHelp.mName.c_str(),
                example.empty() ? "" : " ",
                example.c_str());
  }
  std::printf(
    "\nExit codes: 0 ok; 1 refused or failed; 2 wrong arguments or settings;\n"
    "3 no answer from the service; 4 timed out waiting.\n");
}

base::Failure
InvalidArgument(const std::string& aMessage)
{
  return { base::Reason::InvalidRequest, aMessage };
}

} // namespace

base::Outcome<ParsedArguments>
ParseArguments(const CommandHelp& aHelp,
               const std::vector<Option>& aOptions,
               const std::vector<std::string>& aArguments)
{
  const std::string name = "dogwooddrum " + aHelp.mName;
  std::vector<const char*> raw = { name.c_str() };
  for (const std::string& argument : aArguments) {
    raw.push_back(argument.c_str());
  }
  const std::vector<poptOption> table = MakePoptTable(aOptions);
  const PoptContextPtr context(
    poptGetContext(
      name.c_str(), static_cast<int>(raw.size()), raw.data(), table.data(), 0),
    poptFreeContext);
  const std::string usage = "[OPTION...] " + aHelp.mArguments;
  poptSetOtherOptionHelp(context.get(), usage.c_str());

  ParsedArguments parsed;
  int rc = 0;
  while ((rc = poptGetNextOpt(context.get())) > 0) {
    if (rc == kHelpOptionId) {
      PrintHelp(aHelp, context.get());
      parsed.mHelpShown = true;
      return parsed;
    }
    const Option& option =
      aOptions[static_cast<std::size_t>(rc - kFirstOptionId)];
    const std::unique_ptr<char, void (*)(void*)> text(
      poptGetOptArg(context.get()), std::free);
    const std::string value = text ? text.get() : "";
    if (!std::visit(StoreOptionValue{ value }, option.mDestination)) {
      return InvalidArgument("--" + option.mName + " \"" + value +
                             "\" is not " + DescribeType(option.mDestination));
    }
    parsed.mGivenOptions.push_back(option.mName);
  }
  if (rc < -1) {
    return InvalidArgument(std::string(poptBadOption(context.get(), 0)) + ": " +
                           poptStrerror(rc));
  }
  while (const char* value = poptGetArg(context.get())) {
    parsed.mPositional.emplace_back(value);
  }
  return parsed;
}

} // namespace dogwooddrum::cli
