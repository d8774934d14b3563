// Guards against reference pages that differ from the tables in the code.
// Generate a page again with: dogwooddrum reference PAGE
#include "dogwooddrum/cli/Reference.h"
#include "dogwooddrum/service/LogEvents.h"
#include "dogwooddrum/service/Settings.h"

#include <gtest/gtest.h>

#include <fstream>
#include <iterator>

namespace dogwooddrum {

namespace {

std::string
ReadPage(const std::string& aName)
{
  std::ifstream in(std::string(DOGWOODDRUM_SOURCE_DIR) + "/docs/" + aName);
  return { std::istreambuf_iterator<char>(in), {} };
}

} // namespace

TEST(ReferencePages, SettingsPageMatchesTable)
{
  EXPECT_EQ(ReadPage("settings.md"), service::SettingsReference());
}

TEST(ReferencePages, LogEventsPageMatchesTable)
{
  EXPECT_EQ(ReadPage("log-events.md"), service::LogEventReference());
}

TEST(ReferencePages, InterfacePageContainsReasonTable)
{
  EXPECT_NE(ReadPage("interface.md").find("\n" + cli::RefusalReference()),
            std::string::npos)
    << cli::RefusalReference();
}

TEST(ReferencePages, EveryReasonHasAMeaning)
{
  EXPECT_EQ(cli::RefusalReference().find("|  |"), std::string::npos)
    << cli::RefusalReference();
}

} // namespace dogwooddrum
