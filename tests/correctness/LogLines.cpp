// Guards against log lines that cannot be parsed because a value holds a
// separator, and against event numbers or names that are used twice.
#include "dogwooddrum/service/LogEvents.h"

#include <gtest/gtest.h>

#include <fstream>
#include <set>
#include <sstream>

namespace dogwooddrum::service {

TEST(LogLines, ValuesAreQuoted)
{
  EXPECT_EQ(
    FormatLogLine(LogEvent::LinkDown,
                  { { "peer", "10.0.0.1:7" }, { "reason", "a \"b\"\n{c}=d" } }),
    "level=warning event=201 name=link_down "
    "text=\"link to 10.0.0.1:7 is down: a \\\"b\\\"\\n{c}=d\" "
    "peer=10.0.0.1:7 reason=\"a \\\"b\\\"\\n{c}=d\"");
}

TEST(LogLines, NumbersAndNamesAreUnique)
{
  std::set<int> numbers;
  std::set<std::string_view> names;
  for (const LogEventInfo& info : LogEventTable()) {
    EXPECT_TRUE(numbers.insert(static_cast<int>(info.mEvent)).second)
      << info.mName;
    EXPECT_TRUE(names.insert(info.mName).second) << info.mName;
    EXPECT_FALSE(info.mMeaning.empty()) << info.mName;
    EXPECT_FALSE(info.mAction.empty()) << info.mName;
  }
}

TEST(LogLines, FileHasOnlyEventsAtOrAboveLogLevel)
{
  const std::string file =
    testing::TempDir() + "log-lines-" + std::to_string(::getpid());
  ASSERT_TRUE(OpenLog("warn", file));
  Log(LogEvent::WorkerUp, { { "worker", "w1" } });
  Log(LogEvent::WorkerLost, { { "worker", "w1" } });
  ASSERT_TRUE(OpenLog("info", ""));
  std::ifstream in(file);
  std::ostringstream text;
  text << in.rdbuf();
  std::remove(file.c_str());
  EXPECT_EQ(text.str().find("worker_up"), std::string::npos);
  EXPECT_NE(text.str().find("Z level=warning event=501 name=worker_lost"),
            std::string::npos)
    << text.str();
}

} // namespace dogwooddrum::service
