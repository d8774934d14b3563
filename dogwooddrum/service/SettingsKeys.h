/** \file
 * Defines the table of all known settings keys. Internal to this package.
 */
#pragma once

#include "dogwooddrum/service/Settings.h"

#include <variant>
#include <vector>

namespace dogwooddrum::service {

/** Function that returns the field, of type T, in which a key is stored. */
template<typename T>
using FieldAccessor = T& (*)(Settings&);

/** List that may be given and empty, which differs from absent. */
using OptionalAddressList = std::optional<std::vector<Address>>;

/** Accessor of a key's field; the alternative also determines its type. */
using AnyFieldAccessor = std::variant<FieldAccessor<std::string>,
                                      FieldAccessor<bool>,
                                      FieldAccessor<std::uint16_t>,
                                      FieldAccessor<std::uint32_t>,
                                      FieldAccessor<base::Duration>,
                                      FieldAccessor<Role>,
                                      FieldAccessor<base::MemberId>,
                                      FieldAccessor<base::ZoneId>,
                                      FieldAccessor<base::WorkerId>,
                                      FieldAccessor<base::RackId>,
                                      FieldAccessor<Address>,
                                      FieldAccessor<std::optional<Address>>,
                                      FieldAccessor<std::vector<Address>>,
                                      FieldAccessor<OptionalAddressList>,
                                      FieldAccessor<std::vector<Peer>>>;

/** Definition of one key: its type, range, default and documentation. */
struct SettingsKey
{
  std::string_view mSection;
  std::string_view mKey;
  AnyFieldAccessor mAccessor;
  std::string_view mUnit; ///< empty for text and addresses
  /** Smallest number, fewest bytes of a text or shortest list. */
  std::uint64_t mMinimum;
  /** Largest number, most bytes of a text or longest list. */
  std::uint64_t mMaximum;
  std::string_view mDefault; ///< used if the key is absent
  bool mRequired;            ///< absent or empty is an error
  std::string_view mDescription;
};

/** Returns all keys in the order of the reference. Thread safe. */
const std::vector<SettingsKey>&
SettingsKeys();

/** Returns the switches of the scheduler of workloads, which are part of all
 * keys. Thread safe. */
std::vector<SettingsKey>
PolicyKeys();

/** Describes the allowed values of aKey, for messages and the reference. */
std::string
AllowedValues(const SettingsKey& aKey);

/** Returns the log levels from the most to the least detailed. */
const std::vector<std::string>&
LogLevelNames();

} // namespace dogwooddrum::service
