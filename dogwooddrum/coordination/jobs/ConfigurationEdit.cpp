#include "dogwooddrum/coordination/jobs/JobState.h"

#include <algorithm>

namespace dogwooddrum::coordination::jobs {

namespace {

using protocol::ClientAccount;
using protocol::Configuration;
using protocol::Profile;

template<typename Item, typename Name>
auto
LowerBound(Item& aItems, const Name& aName)
{
  return std::lower_bound(
    aItems.begin(),
    aItems.end(),
    aName,
    [](const auto& aItem, const Name& aOther) { return aItem.mName < aOther; });
}

template<typename Items, typename Name>
const typename Items::value_type*
FindByName(const Items& aItems, const Name& aName)
{
  const auto it = LowerBound(aItems, aName);
  return it != aItems.end() && it->mName == aName ? &*it : nullptr;
}

template<typename Item>
void
InsertOrReplace(std::vector<Item>& aItems, const Item& aItem)
{
  const auto it = LowerBound(aItems, aItem.mName);
  if (it != aItems.end() && it->mName == aItem.mName) {
    *it = aItem;
  } else {
    aItems.insert(it, aItem);
  }
}

template<typename Item, typename Name>
bool
Erase(std::vector<Item>& aItems, const Name& aName)
{
  const auto it = LowerBound(aItems, aName);
  if (it == aItems.end() || it->mName != aName) {
    return false;
  }
  aItems.erase(it);
  return true;
}

base::Failure
InvalidEdit(const std::string& aMessage)
{
  return { base::Reason::InvalidRequest, aMessage };
}

bool
IsValidName(const std::string& aName)
{
  return !aName.empty() && aName.size() <= protocol::kMaxNameBytes;
}

/** Applies an edit; returns an empty message, or why the edit is not valid. */
struct Editor
{
  Configuration& mConfiguration;

  std::string operator()(const ClientAccount& aAccount) const
  {
    if (!IsValidName(aAccount.mName.Value())) {
      return "account name \"" + aAccount.mName.Value() +
             "\" is empty or too long";
    }
    InsertOrReplace(mConfiguration.mAccounts, aAccount);
    return {};
  }
  std::string operator()(const Profile& aProfile) const
  {
    if (!IsValidName(aProfile.mName.Value())) {
      return "profile name \"" + aProfile.mName.Value() +
             "\" is empty or too long";
    }
    InsertOrReplace(mConfiguration.mProfiles, aProfile);
    return {};
  }
  std::string operator()(const protocol::RemoveAccount& aEdit) const
  {
    return Erase(mConfiguration.mAccounts, aEdit.mName)
             ? ""
             : "account \"" + aEdit.mName.Value() + "\" does not exist";
  }
  std::string operator()(const protocol::RemoveProfile& aEdit) const
  {
    return Erase(mConfiguration.mProfiles, aEdit.mName)
             ? ""
             : "profile \"" + aEdit.mName.Value() + "\" does not exist";
  }
  std::string operator()(const protocol::DrainWorker& aEdit) const
  {
    if (!IsValidName(aEdit.mWorker.Value())) {
      return "worker name \"" + aEdit.mWorker.Value() +
             "\" is empty or too long";
    }
    auto& drained = mConfiguration.mDrained;
    const auto it =
      std::lower_bound(drained.begin(), drained.end(), aEdit.mWorker);
    const bool present = it != drained.end() && *it == aEdit.mWorker;
    if (aEdit.mDrain && !present) {
      drained.insert(it, aEdit.mWorker);
    } else if (!aEdit.mDrain && present) {
      drained.erase(it);
    }
    return {};
  }
};

} // namespace

base::Outcome<Configuration>
ApplyEdit(const Configuration& aConfiguration,
          const protocol::ConfigurationEdit& aEdit)
{
  Configuration next = aConfiguration;
  const std::string message = std::visit(Editor{ next }, aEdit);
  if (!message.empty()) {
    return InvalidEdit(message);
  }
  next.mVersion = base::ConfigurationVersion(next.mVersion.Value() + 1);
  return next;
}

const ClientAccount*
FindAccount(const Configuration& aConfiguration, const base::AccountId& aName)
{
  return FindByName(aConfiguration.mAccounts, aName);
}

const Profile*
FindProfile(const Configuration& aConfiguration, const base::ProfileId& aName)
{
  return FindByName(aConfiguration.mProfiles, aName);
}

} // namespace dogwooddrum::coordination::jobs
