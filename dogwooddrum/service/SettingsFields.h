/** \file
 * Defines the functions that return the field of a settings key. Internal to
 * this package.
 */
#pragma once

#include "dogwooddrum/service/Settings.h"

namespace dogwooddrum::service {

template<auto Section, auto Member>
auto&
FieldOf(Settings& aSettings)
{
  return (aSettings.*Section).*Member;
}

template<auto Section, auto Part, auto Member>
auto&
NestedFieldOf(Settings& aSettings)
{
  return ((aSettings.*Section).*Part).*Member;
}

template<auto Member>
constexpr auto kCommonField = &FieldOf<&Settings::mCommon, Member>;
template<auto Member>
constexpr auto kEntryField = &FieldOf<&Settings::mEntry, Member>;
template<auto Member>
constexpr auto kControlField = &FieldOf<&Settings::mControl, Member>;
template<auto Member>
constexpr auto kPolicyField =
  &NestedFieldOf<&Settings::mControl, &ControlSettings::mPolicies, Member>;
template<auto Member>
constexpr auto kAgentField = &FieldOf<&Settings::mAgent, Member>;

} // namespace dogwooddrum::service
