/** \file
 * Defines the table of all known settings keys. Internal to this package.
 */
#pragma once

#include "dogwooddrum/service/Settings.h"

#include <variant>
#include <vector>

namespace dogwooddrum::service {

/** Returns a reference to the field of type T that a key fills. */
template<typename T>
using Field = T& (*)(Settings&);

/** Field of a key; the alternative also fixes the key's type. */
using AnyField = std::variant<Field<std::string>,
                              Field<bool>,
                              Field<std::uint16_t>,
                              Field<std::uint32_t>,
                              Field<base::Duration>,
                              Field<Role>,
                              Field<base::MemberId>,
                              Field<base::ZoneId>,
                              Field<base::WorkerId>,
                              Field<base::RackId>,
                              Field<Address>,
                              Field<std::optional<Address>>,
                              Field<std::vector<Address>>,
                              Field<std::vector<Peer>>>;

/** What is fixed for one key. */
struct SettingsKey
{
  std::string_view mSection;
  std::string_view mKey;
  AnyField mField;
  std::string_view mUnit;    ///< empty for text and addresses
  std::uint64_t mMinimum;    ///< numbers: smallest value
  std::uint64_t mMaximum;    ///< numbers: largest value; text: most bytes
  std::string_view mDefault; ///< used if the key is absent
  bool mRequired;            ///< absent or empty is an error
  std::string_view mDescription;
};

/** Returns all keys in the order of the reference. Thread safe. */
const std::vector<SettingsKey>&
SettingsKeys();

/** Returns what a value of aKey may be, for messages and the reference. */
std::string
AllowedValues(const SettingsKey& aKey);

/** Log levels from the most to the least detailed. */
const std::vector<std::string>&
LogLevelNames();

} // namespace dogwooddrum::service
