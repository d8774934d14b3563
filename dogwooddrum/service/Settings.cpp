#include "dogwooddrum/service/Settings.h"

#include "dogwooddrum/service/SettingsKeys.h"

#include <boost/asio/ip/address.hpp>
#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <set>
#include <sstream>

namespace dogwooddrum::service {

namespace {

using Tree = boost::property_tree::ptree;

std::optional<std::uint64_t>
ParseNumber(std::string_view aText)
{
  std::uint64_t value = 0;
  const auto* const end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, value);
  if (aText.empty() || result.ec != std::errc() || result.ptr != end) {
    return std::nullopt;
  }
  return value;
}

bool
IsIpAddress(const std::string& aText)
{
  boost::system::error_code ec;
  boost::asio::ip::make_address(aText, ec);
  return !ec;
}

std::vector<std::string>
SplitList(const std::string& aText)
{
  std::vector<std::string> parts;
  std::istringstream in(aText);
  std::string part;
  while (std::getline(in, part, ',')) {
    const auto first = part.find_first_not_of(" \t");
    const auto last = part.find_last_not_of(" \t");
    parts.push_back(
      first == std::string::npos ? "" : part.substr(first, last - first + 1));
  }
  return parts;
}

/** Stores a value's text in the field; returns false if it is not allowed. */
struct StoreVisitor
{
  const SettingsKey& mKey;
  const std::string& mText;
  Settings& mSettings;

  bool operator()(Field<std::string> aField) const
  {
    if (mKey.mKey == "bind_address" && !IsIpAddress(mText)) {
      return false;
    }
    const auto& levels = LogLevelNames();
    if (mKey.mKey == "log_level" &&
        std::find(levels.begin(), levels.end(), mText) == levels.end()) {
      return false;
    }
    aField(mSettings) = mText;
    return TextAllowed();
  }
  bool operator()(Field<bool> aField) const
  {
    aField(mSettings) = mText == "true";
    return mText == "true" || mText == "false";
  }
  bool operator()(Field<Role> aField) const
  {
    for (const Role role : { Role::Entry, Role::Control, Role::Agent }) {
      if (ToString(role) == mText) {
        aField(mSettings) = role;
        return true;
      }
    }
    return false;
  }
  bool operator()(Field<base::Duration> aField) const
  {
    const auto value = Number();
    aField(mSettings) =
      base::Milliseconds(static_cast<std::int64_t>(value.value_or(0)));
    return value.has_value();
  }
  bool operator()(Field<Address> aField) const
  {
    const auto address = ParseAddress(mText);
    if (address) {
      aField(mSettings) = *address;
    }
    return static_cast<bool>(address);
  }
  bool operator()(Field<std::optional<Address>> aField) const
  {
    const auto address = ParseAddress(mText);
    if (address) {
      aField(mSettings) = *address;
    }
    return static_cast<bool>(address);
  }
  bool operator()(Field<std::vector<Address>> aField) const
  {
    for (const std::string& part : SplitList(mText)) {
      const auto address = ParseAddress(part);
      if (!address) {
        return false;
      }
      aField(mSettings).push_back(*address);
    }
    return CountAllowed(aField(mSettings).size());
  }
  bool operator()(Field<std::vector<Peer>> aField) const
  {
    std::set<std::uint64_t> ids;
    for (const std::string& part : SplitList(mText)) {
      const auto equals = part.find('=');
      const auto id = ParseNumber(std::string_view(part).substr(
        0, equals == std::string::npos ? 0 : equals));
      if (!id || *id == 0 || !ids.insert(*id).second) {
        return false;
      }
      const auto address = ParseAddress(part.substr(equals + 1));
      if (!address) {
        return false;
      }
      aField(mSettings).push_back(Peer{ base::MemberId(*id), *address });
    }
    return CountAllowed(aField(mSettings).size());
  }
  template<typename Tag>
  bool operator()(Field<base::StrongType<Tag, std::string>> aField) const
  {
    aField(mSettings) = base::StrongType<Tag, std::string>(mText);
    return TextAllowed();
  }
  template<typename T>
  bool operator()(Field<T> aField) const
  {
    const auto value = Number();
    // The largest value of a key fits its field.
    aField(mSettings) =
      T(static_cast<decltype(Representation(T{}))>(value.value_or(0)));
    return value.has_value();
  }

private:
  template<typename T>
  static T Representation(T);
  template<typename Tag, typename Rep>
  static Rep Representation(base::StrongType<Tag, Rep>);

  std::optional<std::uint64_t> Number() const
  {
    const auto value = ParseNumber(mText);
    if (!value || *value < mKey.mMinimum || *value > mKey.mMaximum) {
      return std::nullopt;
    }
    return value;
  }
  bool TextAllowed() const
  {
    return mText.size() >= mKey.mMinimum && mText.size() <= mKey.mMaximum;
  }
  bool CountAllowed(std::size_t aCount) const
  {
    return aCount >= mKey.mMinimum && aCount <= mKey.mMaximum;
  }
};

base::Failure
Invalid(const std::string& aFile,
        std::string_view aSection,
        std::string_view aKey,
        std::string_view aValue,
        const std::string& aAllowed)
{
  std::ostringstream out;
  out << aFile << ": section [" << aSection << "], key \"" << aKey
      << "\", value \"" << aValue << "\": allowed is " << aAllowed;
  return { base::Reason::InvalidRequest, out.str() };
}

std::string
KnownKeys(std::string_view aSection)
{
  std::string text;
  for (const SettingsKey& key : SettingsKeys()) {
    if (key.mSection == aSection) {
      text += (text.empty() ? "" : ", ") + std::string(key.mKey);
    }
  }
  return text;
}

/** Returns a failure for the first section or key that is not in the table. */
std::optional<base::Failure>
FindUnknown(const Tree& aTree, const std::string& aFile)
{
  for (const auto& [section, keys] : aTree) {
    if (keys.empty() && !keys.data().empty()) {
      return Invalid(aFile, "", section, keys.data(), "keys inside a section");
    }
    if (KnownKeys(section).empty()) {
      return Invalid(
        aFile, section, "", "", "one of common, entry, control, agent");
    }
    for (const auto& [key, value] : keys) {
      const auto& all = SettingsKeys();
      const auto isKey =
        [&, &name = key, &in = section](const SettingsKey& aKnown) {
          return aKnown.mSection == in && aKnown.mKey == name;
        };
      if (std::none_of(all.begin(), all.end(), isKey)) {
        return Invalid(aFile,
                       section,
                       key,
                       value.data(),
                       "one of the keys " + KnownKeys(section));
      }
    }
  }
  return std::nullopt;
}

std::optional<base::Failure>
Store(const Tree& aTree,
      const std::string& aFile,
      std::string_view aSection,
      Settings& aSettings)
{
  const auto section = aTree.find(std::string(aSection));
  for (const SettingsKey& key : SettingsKeys()) {
    if (key.mSection != aSection) {
      continue;
    }
    std::optional<std::string> text;
    if (section != aTree.not_found()) {
      const auto entry = section->second.find(std::string(key.mKey));
      if (entry != section->second.not_found()) {
        text = entry->second.data();
      }
    }
    const bool given = text.has_value();
    const std::string value = text.value_or(std::string(key.mDefault));
    if (value.empty() && !key.mRequired && (!given || key.mDefault.empty())) {
      continue;
    }
    if (!std::visit(StoreVisitor{ key, value, aSettings }, key.mField)) {
      const std::string allowed = AllowedValues(key);
      return Invalid(aFile,
                     aSection,
                     key.mKey,
                     value,
                     given ? allowed : allowed + "; the key is required");
    }
  }
  return std::nullopt;
}

/** Returns a failure for a key that is required because of other settings. */
std::optional<base::Failure>
FindMissing(const Settings& aSettings,
            const Tree& aTree,
            const std::string& aFile)
{
  const auto missing = [&](std::string_view aSection, std::string_view aKey) {
    for (const SettingsKey& key : SettingsKeys()) {
      if (key.mSection == aSection && key.mKey == aKey) {
        return std::make_optional(
          Invalid(aFile,
                  aSection,
                  aKey,
                  "",
                  AllowedValues(key) + "; the key is required"));
      }
    }
    return std::optional<base::Failure>();
  };
  const CommonSettings& common = aSettings.mCommon;
  if (common.mKeyFile.empty() && common.mKey.empty()) {
    return missing("common", "key_file");
  }
  const ControlSettings& control = aSettings.mControl;
  if (common.mRole == Role::Control && control.mSeeds.empty()) {
    if (control.mMemberId.Value() == 0) {
      return missing("control", "member_id");
    }
    if (control.mPeers.empty()) {
      return missing("control", "peers");
    }
  }
  const AgentSettings& agent = aSettings.mAgent;
  if (common.mRole == Role::Agent && !agent.mAnnounceAddress) {
    if (agent.mWorker.Value().empty()) {
      return missing("agent", "worker");
    }
    if (agent.mRack.Value().empty()) {
      return missing("agent", "rack");
    }
    if (!aTree.get_optional<std::string>("agent.accelerators")) {
      return missing("agent", "accelerators");
    }
    if (agent.mTargetAddress.mPort == 0) {
      return missing("agent", "target_address");
    }
  }
  return std::nullopt;
}

/** Returns a failure if two settings that are valid alone are at odds. */
std::optional<base::Failure>
FindConflict(const Settings& aSettings,
             const Tree& aTree,
             const std::string& aFile)
{
  const CommonSettings& common = aSettings.mCommon;
  for (const Role role : { Role::Entry, Role::Control, Role::Agent }) {
    if (role != common.mRole && aTree.count(std::string(ToString(role))) > 0) {
      return Invalid(
        aFile,
        ToString(role),
        "",
        "",
        "no section but [common] and [" + std::string(ToString(common.mRole)) +
          "], because [common] role is " + std::string(ToString(common.mRole)));
    }
  }
  const std::string link = std::to_string(common.mLinkPort);
  if (common.mRole != Role::Control) {
    if (common.mLinkPort != 0) {
      return Invalid(aFile,
                     "common",
                     "link_port",
                     link,
                     "0, because only the control role accepts links");
    }
    return std::nullopt;
  }
  if (common.mLinkPort == common.mHttpPort) {
    return Invalid(
      aFile, "common", "link_port", link, "another port than http_port");
  }
  const ControlSettings& control = aSettings.mControl;
  if (!control.mSeeds.empty()) {
    return std::nullopt;
  }
  const auto self = std::find_if(
    control.mPeers.begin(), control.mPeers.end(), [&](const Peer& aPeer) {
      return aPeer.mId == control.mMemberId;
    });
  const std::string id = std::to_string(control.mMemberId.Value());
  if (self == control.mPeers.end()) {
    return Invalid(
      aFile, "control", "member_id", id, "one of the ids in [control] peers");
  }
  if (self->mAddress.mPort != common.mLinkPort) {
    return Invalid(aFile,
                   "common",
                   "link_port",
                   link,
                   std::to_string(self->mAddress.mPort) +
                     ", the port of member " + id + " in [control] peers");
  }
  return std::nullopt;
}

} // namespace

std::string_view
ToString(Role aRole)
{
  switch (aRole) {
    case Role::Entry:
      return "entry";
    case Role::Control:
      return "control";
    case Role::Agent:
      break;
  }
  return "agent";
}

std::string
ToString(const Address& aAddress)
{
  const bool six = aAddress.mIp.find(':') != std::string::npos;
  return (six ? "[" + aAddress.mIp + "]" : aAddress.mIp) + ":" +
         std::to_string(aAddress.mPort);
}

base::Outcome<Address>
ParseAddress(std::string_view aText)
{
  const base::Failure failure{ base::Reason::InvalidRequest,
                               "address \"" + std::string(aText) +
                                 "\" is not ip:port" };
  const auto colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return failure;
  }
  std::string ip(aText.substr(0, colon));
  if (ip.size() >= 2 && ip.front() == '[' && ip.back() == ']') {
    ip = ip.substr(1, ip.size() - 2);
  }
  const auto port = ParseNumber(aText.substr(colon + 1));
  if (!port || *port == 0 || *port > 65535 || !IsIpAddress(ip)) {
    return failure;
  }
  return Address{ ip, static_cast<std::uint16_t>(*port) };
}

base::Outcome<Settings>
ParseSettings(const std::string& aText, const std::string& aFile)
{
  Tree tree;
  try {
    std::istringstream in(aText);
    boost::property_tree::read_ini(in, tree);
  } catch (const boost::property_tree::ini_parser_error& e) {
    return base::Failure{ base::Reason::InvalidRequest,
                          aFile + ": line " + std::to_string(e.line()) + ": " +
                            e.message() +
                            "; allowed are [section] and key = value lines" };
  }
  if (const auto unknown = FindUnknown(tree, aFile)) {
    return *unknown;
  }
  Settings settings;
  if (const auto failure = Store(tree, aFile, "common", settings)) {
    return *failure;
  }
  // A section of another role is reported before the own section's keys: the
  // likely cause is a wrong role.
  const Role role = settings.mCommon.mRole;
  if (const auto failure = Store(tree, aFile, ToString(role), settings)) {
    const auto conflict = FindConflict(settings, tree, aFile);
    const bool missing = tree.count(std::string(ToString(role))) == 0;
    return missing && conflict ? *conflict : *failure;
  }
  if (const auto missing = FindMissing(settings, tree, aFile)) {
    return *missing;
  }
  if (const auto conflict = FindConflict(settings, tree, aFile)) {
    return *conflict;
  }
  return settings;
}

base::Outcome<Settings>
LoadSettings(const std::string& aFile)
{
  std::ifstream in(aFile, std::ios::binary);
  std::ostringstream text;
  if (!in || !(text << in.rdbuf())) {
    return base::Failure{ base::Reason::InvalidRequest,
                          aFile + ": cannot be read, or is empty" };
  }
  return ParseSettings(text.str(), aFile);
}

} // namespace dogwooddrum::service
