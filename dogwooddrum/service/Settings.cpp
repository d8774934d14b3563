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

/** Parses mText into the key's field; returns false if mText is not allowed. */
struct StoreValueVisitor
{
  const SettingsKey& mKey;
  const std::string& mText;
  Settings& mSettings;

  bool operator()(FieldAccessor<std::string> aAccessor) const
  {
    if (mKey.mKey == "bind_address" && !IsIpAddress(mText)) {
      return false;
    }
    const auto& levels = LogLevelNames();
    if (mKey.mKey == "log_level" &&
        std::find(levels.begin(), levels.end(), mText) == levels.end()) {
      return false;
    }
    aAccessor(mSettings) = mText;
    return IsLengthAllowed();
  }
  bool operator()(FieldAccessor<bool> aAccessor) const
  {
    aAccessor(mSettings) = mText == "true";
    return mText == "true" || mText == "false";
  }
  bool operator()(FieldAccessor<Role> aAccessor) const
  {
    for (const Role role : { Role::Entry, Role::Control, Role::Agent }) {
      if (ToString(role) == mText) {
        aAccessor(mSettings) = role;
        return true;
      }
    }
    return false;
  }
  bool operator()(FieldAccessor<base::Duration> aAccessor) const
  {
    const auto value = ParseNumberInRange();
    aAccessor(mSettings) =
      base::Milliseconds(static_cast<std::int64_t>(value.value_or(0)));
    return value.has_value();
  }
  bool operator()(FieldAccessor<Address> aAccessor) const
  {
    const auto address = ParseAddress(mText);
    if (address) {
      aAccessor(mSettings) = *address;
    }
    return static_cast<bool>(address);
  }
  bool operator()(FieldAccessor<std::optional<Address>> aAccessor) const
  {
    const auto address = ParseAddress(mText);
    if (address) {
      aAccessor(mSettings) = *address;
    }
    return static_cast<bool>(address);
  }
  bool operator()(FieldAccessor<std::vector<Address>> aAccessor) const
  {
    const auto list = ParseAddresses();
    if (list) {
      aAccessor(mSettings) = *list;
    }
    return list && IsCountAllowed(list->size());
  }
  bool operator()(FieldAccessor<OptionalAddressList> aAccessor) const
  {
    const auto list = ParseAddresses();
    if (list) {
      aAccessor(mSettings) = *list;
    }
    return list && IsCountAllowed(list->size());
  }
  bool operator()(FieldAccessor<std::vector<Peer>> aAccessor) const
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
      aAccessor(mSettings).push_back(Peer{ base::MemberId(*id), *address });
    }
    return IsCountAllowed(aAccessor(mSettings).size());
  }
  template<typename Tag>
  bool operator()(
    FieldAccessor<base::StrongType<Tag, std::string>> aAccessor) const
  {
    aAccessor(mSettings) = base::StrongType<Tag, std::string>(mText);
    return IsLengthAllowed();
  }
  template<typename T>
  bool operator()(FieldAccessor<T> aAccessor) const
  {
    const auto value = ParseNumberInRange();
    // The cast loses nothing: the maximum of each key fits the type of its
    // field.
    aAccessor(mSettings) =
      T(static_cast<decltype(RepresentationOf(T{}))>(value.value_or(0)));
    return value.has_value();
  }

private:
  template<typename T>
  static T RepresentationOf(T);
  template<typename Tag, typename Rep>
  static Rep RepresentationOf(base::StrongType<Tag, Rep>);

  OptionalAddressList ParseAddresses() const
  {
    std::vector<Address> list;
    for (const std::string& part : SplitList(mText)) {
      const auto address = ParseAddress(part);
      if (!address) {
        return std::nullopt;
      }
      list.push_back(*address);
    }
    return list;
  }
  std::optional<std::uint64_t> ParseNumberInRange() const
  {
    const auto value = ParseNumber(mText);
    if (!value || *value < mKey.mMinimum || *value > mKey.mMaximum) {
      return std::nullopt;
    }
    return value;
  }
  bool IsLengthAllowed() const
  {
    return mText.size() >= mKey.mMinimum && mText.size() <= mKey.mMaximum;
  }
  bool IsCountAllowed(std::size_t aCount) const
  {
    return aCount >= mKey.mMinimum && aCount <= mKey.mMaximum;
  }
};

base::Failure
InvalidSetting(const std::string& aFile,
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
KeyNames(std::string_view aSection)
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
FindUnknownKey(const Tree& aTree, const std::string& aFile)
{
  for (const auto& [section, keys] : aTree) {
    if (keys.empty() && !keys.data().empty()) {
      return InvalidSetting(
        aFile, "", section, keys.data(), "keys inside a section");
    }
    if (KeyNames(section).empty()) {
      return InvalidSetting(
        aFile, section, "", "", "one of common, entry, control, agent");
    }
    for (const auto& [key, value] : keys) {
      const auto& all = SettingsKeys();
      const auto isSameKey =
        [&, &name = key, &sectionName = section](const SettingsKey& aKnown) {
          return aKnown.mSection == sectionName && aKnown.mKey == name;
        };
      if (std::none_of(all.begin(), all.end(), isSameKey)) {
        return InvalidSetting(aFile,
                              section,
                              key,
                              value.data(),
                              "one of the keys " + KeyNames(section));
      }
    }
  }
  return std::nullopt;
}

std::optional<base::Failure>
StoreSection(const Tree& aTree,
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
    const bool isGiven = text.has_value();
    const std::string value = text.value_or(std::string(key.mDefault));
    const bool isAbsent = value.empty() && !isGiven;
    const bool isBlankDefault =
      value.empty() && key.mDefault.empty() && !key.mRequired &&
      !std::holds_alternative<FieldAccessor<OptionalAddressList>>(
        key.mAccessor);
    if (isBlankDefault || (isAbsent && !key.mRequired)) {
      continue;
    }
    if (isAbsent || !std::visit(StoreValueVisitor{ key, value, aSettings },
                                key.mAccessor)) {
      const std::string allowed = AllowedValues(key);
      return InvalidSetting(aFile,
                            aSection,
                            key.mKey,
                            value,
                            isGiven ? allowed
                                    : allowed + "; the key is required");
    }
  }
  return std::nullopt;
}

/**
 * Returns a failure for an absent key that is required because of other
 * settings.
 */
std::optional<base::Failure>
FindMissingKey(const Settings& aSettings,
               const Tree& aTree,
               const std::string& aFile)
{
  const auto missingFailure = [&](std::string_view aSection,
                                  std::string_view aKey) {
    for (const SettingsKey& key : SettingsKeys()) {
      if (key.mSection == aSection && key.mKey == aKey) {
        return std::make_optional(
          InvalidSetting(aFile,
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
    return missingFailure("common", "key_file");
  }
  const ControlSettings& control = aSettings.mControl;
  if (common.mRole == Role::Control && !control.mSeeds) {
    if (control.mMemberId.Value() == 0) {
      return missingFailure("control", "member_id");
    }
    if (control.mPeers.empty()) {
      return missingFailure("control", "peers");
    }
  }
  const AgentSettings& agent = aSettings.mAgent;
  if (common.mRole == Role::Agent && !agent.mAnnounceAddress) {
    if (agent.mWorker.Value().empty()) {
      return missingFailure("agent", "worker");
    }
    if (agent.mRack.Value().empty()) {
      return missingFailure("agent", "rack");
    }
    if (!aTree.get_optional<std::string>("agent.accelerators")) {
      return missingFailure("agent", "accelerators");
    }
    if (agent.mTargetAddress.mPort == 0) {
      return missingFailure("agent", "target_address");
    }
  }
  return std::nullopt;
}

/** Returns a failure if two settings contradict each other. */
std::optional<base::Failure>
FindConflict(const Settings& aSettings,
             const Tree& aTree,
             const std::string& aFile)
{
  const CommonSettings& common = aSettings.mCommon;
  for (const Role role : { Role::Entry, Role::Control, Role::Agent }) {
    if (role != common.mRole && aTree.count(std::string(ToString(role))) > 0) {
      return InvalidSetting(
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
      return InvalidSetting(aFile,
                            "common",
                            "link_port",
                            link,
                            "0, because only the control role accepts links");
    }
    return std::nullopt;
  }
  if (common.mLinkPort == common.mHttpPort) {
    return InvalidSetting(
      aFile, "common", "link_port", link, "another port than http_port");
  }
  const ControlSettings& control = aSettings.mControl;
  if (control.mSeeds) {
    return std::nullopt;
  }
  const auto self = std::find_if(
    control.mPeers.begin(), control.mPeers.end(), [&](const Peer& aPeer) {
      return aPeer.mId == control.mMemberId;
    });
  const std::string id = std::to_string(control.mMemberId.Value());
  if (self == control.mPeers.end()) {
    return InvalidSetting(
      aFile, "control", "member_id", id, "one of the ids in [control] peers");
  }
  if (self->mAddress.mPort != common.mLinkPort) {
    return InvalidSetting(aFile,
                          "common",
                          "link_port",
                          link,
                          std::to_string(self->mAddress.mPort) +
                            ", the port of member " + id +
                            " in [control] peers");
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
  const bool isIpv6 = aAddress.mIp.find(':') != std::string::npos;
  return (isIpv6 ? "[" + aAddress.mIp + "]" : aAddress.mIp) + ":" +
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

base::Outcome<SettingOverride>
ParseSettingOverride(const std::string& aText)
{
  const auto dot = aText.find('.');
  const auto equals = aText.find('=');
  if (dot == 0 || dot == std::string::npos || equals == std::string::npos ||
      dot + 1 >= equals) {
    return base::Failure{ base::Reason::InvalidRequest,
                          "\"" + aText + "\" is not SECTION.KEY=VALUE" };
  }
  return SettingOverride{ aText.substr(0, dot),
                          aText.substr(dot + 1, equals - dot - 1),
                          aText.substr(equals + 1) };
}

base::Outcome<Settings>
ParseSettings(const std::string& aText,
              const std::string& aFile,
              const std::vector<SettingOverride>& aOverrides)
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
  for (const SettingOverride& each : aOverrides) {
    if (!each.mValue.empty()) {
      tree.put(Tree::path_type(each.mSection + "/" + each.mKey, '/'),
               each.mValue);
    }
  }
  if (const auto unknownKey = FindUnknownKey(tree, aFile)) {
    return *unknownKey;
  }
  Settings settings;
  if (const auto failure = StoreSection(tree, aFile, "common", settings)) {
    return *failure;
  }
  // If the section of the daemon's role is absent and another role's section
  // is present, that section is reported rather than the missing keys: the
  // likely cause is a wrong role.
  const Role role = settings.mCommon.mRole;
  if (const auto failure =
        StoreSection(tree, aFile, ToString(role), settings)) {
    const auto conflict = FindConflict(settings, tree, aFile);
    const bool isSectionMissing = tree.count(std::string(ToString(role))) == 0;
    return isSectionMissing && conflict ? *conflict : *failure;
  }
  if (const auto missingKey = FindMissingKey(settings, tree, aFile)) {
    return *missingKey;
  }
  if (const auto conflict = FindConflict(settings, tree, aFile)) {
    return *conflict;
  }
  return settings;
}

base::Outcome<std::string>
ReadSettingsFile(const std::string& aFile)
{
  std::ifstream in(aFile, std::ios::binary);
  std::ostringstream text;
  if (!in || !(text << in.rdbuf())) {
    return base::Failure{ base::Reason::InvalidRequest,
                          aFile + ": cannot be read, or is empty" };
  }
  return text.str();
}

base::Outcome<Settings>
LoadSettings(const std::string& aFile,
             const std::vector<SettingOverride>& aOverrides)
{
  const auto text = ReadSettingsFile(aFile);
  return text ? ParseSettings(*text, aFile, aOverrides)
              : base::Outcome<Settings>(text.LastFailure());
}

} // namespace dogwooddrum::service
