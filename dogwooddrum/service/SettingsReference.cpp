#include "dogwooddrum/service/SettingsKeys.h"

#include <sstream>

namespace dogwooddrum::service {

namespace {

std::string
Range(const SettingsKey& aKey, std::string_view aKind)
{
  std::string text = std::string(aKind) + " from " +
                     std::to_string(aKey.mMinimum) + " to " +
                     std::to_string(aKey.mMaximum);
  if (!aKey.mUnit.empty()) {
    text += " " + std::string(aKey.mUnit);
  }
  return text;
}

/** Describes the values of each field type. */
struct AllowedVisitor
{
  const SettingsKey& mKey;

  std::string operator()(Field<std::string>) const
  {
    if (mKey.mKey == "bind_address") {
      return "numeric IP address";
    }
    if (mKey.mKey == "log_level") {
      std::string text = "one of";
      for (const std::string& name : LogLevelNames()) {
        text += " " + name;
      }
      return text;
    }
    return Text();
  }
  std::string operator()(Field<bool>) const { return "true or false"; }
  std::string operator()(Field<Role>) const
  {
    return "one of entry control agent";
  }
  std::string operator()(Field<Address>) const { return "ip:port"; }
  std::string operator()(Field<std::optional<Address>>) const
  {
    return "ip:port";
  }
  std::string operator()(Field<std::vector<Address>>) const
  {
    return "1 to " + std::to_string(mKey.mMaximum) +
           " of ip:port, separated by commas";
  }
  std::string operator()(Field<std::vector<Peer>>) const
  {
    return "1 to " + std::to_string(mKey.mMaximum) +
           " of id=ip:port, separated by commas";
  }
  std::string operator()(Field<base::ZoneId>) const { return Text(); }
  std::string operator()(Field<base::WorkerId>) const { return Text(); }
  std::string operator()(Field<base::RackId>) const { return Text(); }
  template<typename T>
  std::string operator()(Field<T>) const
  {
    return Range(mKey, "integer");
  }

private:
  std::string Text() const
  {
    return "text of " + std::to_string(mKey.mMinimum) + " to " +
           std::to_string(mKey.mMaximum) + " bytes";
  }
};

} // namespace

std::string
AllowedValues(const SettingsKey& aKey)
{
  return std::visit(AllowedVisitor{ aKey }, aKey.mField);
}

std::string
SettingsReference()
{
  std::ostringstream out;
  out << "# Settings\n\nThis page is printed by `dogwooddrum reference "
         "settings`.\n\nA daemon reads one INI file with the section "
         "[common] and the section of its role. An unknown key, a value that "
         "is not allowed or two settings at odds give one error and exit "
         "status 2 before anything is opened.\n";
  std::string_view section;
  for (const SettingsKey& key : SettingsKeys()) {
    if (key.mSection != section) {
      section = key.mSection;
      out << "\n## [" << section
          << "]\n\n| key | allowed | default | meaning |\n|---|---|---|---|\n";
    }
    out << "| `" << key.mKey << "` | " << AllowedValues(key) << " | "
        << (key.mRequired && key.mDefault.empty()
              ? "required"
              : (key.mDefault.empty() ? "empty"
                                      : "`" + std::string(key.mDefault) + "`"))
        << " | " << key.mDescription << " |\n";
  }
  return out.str();
}

} // namespace dogwooddrum::service
