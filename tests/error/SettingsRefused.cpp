// Guards against a daemon that starts with a mistyped or contradictory
// setting, and against an error message that does not name the place.
#include "dogwooddrum/service/Settings.h"

#include <gtest/gtest.h>

namespace dogwooddrum::service {

namespace {

const std::string kCommon = "[common]\n"
                            "role = control\n"
                            "name = c1\n"
                            "region = r\n"
                            "zone = z\n"
                            "link_port = 7101\n"
                            "http_port = 7001\n"
                            "key_file = key\n";
const std::string kControl = "[control]\n"
                             "member_id = 1\n"
                             "peers = 1=127.0.0.1:7101, 2=127.0.0.1:7102\n"
                             "data_folder = data\n";

/** Expects one failure whose message contains all of aParts. */
void
ExpectRefused(const std::string& aText, const std::vector<std::string>& aParts)
{
  const auto settings = ParseSettings(aText, "file.ini");
  ASSERT_FALSE(settings) << aText;
  const std::string& message = settings.LastFailure().mMessage;
  EXPECT_EQ(message.find('\n'), std::string::npos) << message;
  EXPECT_NE(message.find("file.ini"), std::string::npos) << message;
  for (const std::string& part : aParts) {
    EXPECT_NE(message.find(part), std::string::npos) << message;
  }
}

} // namespace

TEST(SettingsRefused, ValidTextIsRead)
{
  const auto settings = ParseSettings(kCommon + kControl, "file.ini");
  ASSERT_TRUE(settings) << settings.LastFailure().mMessage;
  EXPECT_EQ(settings->mControl.mPeers.size(), 2U);
  EXPECT_EQ(settings->mControl.mPeers[1].mAddress.mPort, 7102);
  EXPECT_EQ(settings->mCommon.mBindAddress, "127.0.0.1");
  EXPECT_EQ(settings->mCommon.mDrainDelay, base::Milliseconds(5000));
  EXPECT_EQ(settings->mControl.mCompactionMovesPerMinute, 2U);
}

// Daemons refused lists that name no member, as a platform writes them while no
// member serves.
TEST(SettingsRefused, ListsOfMembersMayBeEmptyButNotAbsent)
{
  const auto control =
    ParseSettings(kCommon + "[control]\nseeds =\ndata_folder = d\n", "f.ini");
  ASSERT_TRUE(control) << control.LastFailure().mMessage;
  ASSERT_TRUE(control->mControl.mSeeds);
  EXPECT_TRUE(control->mControl.mSeeds->empty());
  const std::string entry = "[common]\nrole = entry\nname = e\nregion = r\n"
                            "zone = z\nkey_file = key\n[entry]\n";
  const auto empty = ParseSettings(entry + "control_addresses =\n", "f.ini");
  ASSERT_TRUE(empty) << empty.LastFailure().mMessage;
  EXPECT_TRUE(empty->mEntry.mControlAddresses.empty());
  ExpectRefused(entry, { "control_addresses", "the key is required" });
}

TEST(SettingsRefused, UnknownKeyNamesTheKnownOnes)
{
  ExpectRefused(kCommon + kControl + "data_foldr = x\n",
                { "[control]", "\"data_foldr\"", "\"x\"", "data_folder" });
}

TEST(SettingsRefused, UnknownSection)
{
  ExpectRefused(kCommon + kControl + "[contrl]\na = 1\n", { "[contrl]" });
}

TEST(SettingsRefused, KeyOutsideASection)
{
  ExpectRefused("role = control\n" + kCommon + kControl, { "\"role\"" });
}

TEST(SettingsRefused, BadValues)
{
  const std::vector<std::pair<std::string, std::string>> cases = {
    { "snapshot_entries = 99", "from 100" },
    { "snapshot_entries = 1e6", "\"1e6\"" },
    { "snapshot_entries = -1", "\"-1\"" },
    { "snapshot_entries = 99999999999999999999", "10000000" },
    { "preemption = yes", "true or false" },
    { "preemption_grace_ms = ", "0 to 60000 ms" },
  };
  const std::string valid = kCommon + kControl;
  for (const auto& [line, allowed] : cases) {
    ExpectRefused(valid + line, { "[control]", allowed });
  }
  const std::vector<std::string> commonLines = { "http_port = 65536",
                                                 "bind_address = localhost",
                                                 "log_level = loud" };
  for (const std::string& line : commonLines) {
    std::string text = kCommon + line;
    text += "\n" + kControl;
    if (line.find("http_port") == 0) {
      text.replace(text.find("http_port = 7001\n"), 17, "");
    }
    ExpectRefused(text, { "[common]", line.substr(line.rfind(' ') + 1) });
  }
}

TEST(SettingsRefused, RequiredKeyIsMissing)
{
  ExpectRefused(kCommon + "[control]\nmember_id = 1\npeers = 1=127.0.0.1:7101",
                { "[control]", "data_folder", "required" });
}

TEST(SettingsRefused, PeersWithDuplicateIdOrBadAddress)
{
  for (const char* peers : { "1=127.0.0.1:7101,1=127.0.0.1:7102",
                             "1=127.0.0.1:0",
                             "0=127.0.0.1:7101",
                             "1=control-1:7101",
                             "127.0.0.1:7101" }) {
    ExpectRefused(
      kCommon + "[control]\nmember_id = 1\ndata_folder = d\npeers = " + peers +
        "\n",
      { "peers", "id=ip:port" });
  }
}

TEST(SettingsRefused, ConflictingSectionsAndKeys)
{
  ExpectRefused(kCommon + kControl + "[agent]\nworker = w\n",
                { "[agent]", "role is control" });
  std::string text = kCommon + kControl;
  text.replace(text.find("member_id = 1"), 13, "member_id = 3");
  ExpectRefused(text, { "member_id", "\"3\"", "peers" });
  text = kCommon + kControl;
  text.replace(text.find("link_port = 7101"), 16, "link_port = 7109");
  ExpectRefused(text, { "link_port", "\"7109\"", "7101" });
}

TEST(SettingsRefused, BrokenSyntaxNamesTheLine)
{
  ExpectRefused("[common\nrole = entry\n", { "line 1" });
}

TEST(SettingsRefused, OverridesReplaceSettingsOfTheFile)
{
  const auto link = ParseSettingOverride("control.task_lease_ms=4000");
  const auto empty = ParseSettingOverride("control.stop_time_ms=");
  ASSERT_TRUE(link && empty);
  const auto settings = ParseSettings(
    kCommon + kControl + "stop_time_ms = 700\n", "file.ini", { *link, *empty });
  ASSERT_TRUE(settings) << settings.LastFailure().mMessage;
  EXPECT_EQ(settings->mControl.mTaskLease, base::Milliseconds(4000));
  EXPECT_EQ(settings->mControl.mStopTime, base::Milliseconds(700));
}

TEST(SettingsRefused, MalformedAndUnknownOverrides)
{
  for (const char* text :
       { "", "control", "control=1", ".key=1", "control.=1" }) {
    EXPECT_FALSE(ParseSettingOverride(text)) << text;
  }
  const auto unknown = ParseSettings(
    kCommon + kControl, "file.ini", { { "control", "no_such_key", "1" } });
  ASSERT_FALSE(unknown);
  EXPECT_NE(unknown.LastFailure().mMessage.find("no_such_key"),
            std::string::npos);
}

TEST(SettingsRefused, MissingFile)
{
  const auto settings = LoadSettings("no-such-folder/file.ini");
  ASSERT_FALSE(settings);
  EXPECT_NE(settings.LastFailure().mMessage.find("no-such-folder/file.ini"),
            std::string::npos);
}

} // namespace dogwooddrum::service
