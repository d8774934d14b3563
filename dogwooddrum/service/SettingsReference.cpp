#include "dogwooddrum/service/SettingsKeys.h"

#include <sstream>

namespace dogwooddrum::service {

namespace {

std::string
DescribeRange(const SettingsKey& aKey, std::string_view aKind)
{
  std::string text = std::string(aKind) + " from " +
                     std::to_string(aKey.mMinimum) + " to " +
                     std::to_string(aKey.mMaximum);
  if (!aKey.mUnit.empty()) {
    text += " " + std::string(aKey.mUnit);
  }
  return text;
}

/** Describes the allowed values of a key by the type of its field. */
struct AllowedValuesVisitor
{
  const SettingsKey& mKey;

  std::string operator()(FieldAccessor<std::string>) const
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
    return DescribeLength();
  }
  std::string operator()(FieldAccessor<bool>) const { return "true or false"; }
  std::string operator()(FieldAccessor<Role>) const
  {
    return "one of entry control agent";
  }
  std::string operator()(FieldAccessor<Address>) const { return "ip:port"; }
  std::string operator()(FieldAccessor<std::optional<Address>>) const
  {
    return "ip:port";
  }
  std::string operator()(FieldAccessor<std::vector<Address>>) const
  {
    return DescribeAddresses();
  }
  std::string operator()(FieldAccessor<OptionalAddressList>) const
  {
    return DescribeAddresses();
  }
  std::string operator()(FieldAccessor<std::vector<Peer>>) const
  {
    return "1 to " + std::to_string(mKey.mMaximum) +
           " of id=ip:port, separated by commas";
  }
  std::string operator()(FieldAccessor<base::ZoneId>) const
  {
    return DescribeLength();
  }
  std::string operator()(FieldAccessor<base::WorkerId>) const
  {
    return DescribeLength();
  }
  std::string operator()(FieldAccessor<base::RackId>) const
  {
    return DescribeLength();
  }
  template<typename T>
  std::string operator()(FieldAccessor<T>) const
  {
    return DescribeRange(mKey, "integer");
  }

private:
  std::string DescribeAddresses() const
  {
    return std::to_string(mKey.mMinimum) + " to " +
           std::to_string(mKey.mMaximum) + " of ip:port, separated by commas";
  }
  std::string DescribeLength() const
  {
    return "text of " + std::to_string(mKey.mMinimum) + " to " +
           std::to_string(mKey.mMaximum) + " bytes";
  }
};

} // namespace

std::string
AllowedValues(const SettingsKey& aKey)
{
  return std::visit(AllowedValuesVisitor{ aKey }, aKey.mAccessor);
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
