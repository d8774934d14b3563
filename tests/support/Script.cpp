// The verbs of scripts. A line is "at TIME VERB ARGUMENT..." or, to run at
// once, "VERB ARGUMENT..."; a NODE is a name, "leader" or "*".
#include "tests/support/Cluster.h"

#include <algorithm>

namespace dogwooddrum::support {

namespace {

using Words = std::vector<std::string>;

Words
Split(const std::string& aLine)
{
  std::istringstream in(aLine);
  Words words;
  for (std::string word; in >> word;) {
    words.push_back(word);
  }
  return words;
}

/** Parses "1.5s" or "200ms". */
base::Duration
ParseDuration(const std::string& aText)
{
  std::size_t used = 0;
  const double number = std::stod(aText, &used);
  const double scale = aText.substr(used) == "ms" ? 1e3 : 1e6;
  return base::Duration(static_cast<std::int64_t>(number * scale));
}

consensus::Member*
FindMemberIn(consensus::Membership& aMembership, base::MemberId aId)
{
  for (auto& member : aMembership.mMembers) {
    if (member.mId == aId) {
      return &member;
    }
  }
  return nullptr;
}

// Membership changes: each edits the committed membership, and returns false
// if the change has already taken effect.

bool
RemoveMember(consensus::Membership& aMembership, base::MemberId aId)
{
  auto& members = aMembership.mMembers;
  const auto it =
    std::remove_if(members.begin(), members.end(), [&](const auto& aMember) {
      return aMember.mId == aId;
    });
  const bool found = it != members.end();
  members.erase(it, members.end());
  return found;
}

bool
AddLearner(consensus::Membership& aMembership, base::MemberId aId)
{
  if (FindMemberIn(aMembership, aId) != nullptr) {
    return false;
  }
  aMembership.mMembers.push_back({ aId, "", false });
  return true;
}

bool
Promote(consensus::Membership& aMembership, base::MemberId aId)
{
  consensus::Member* member = FindMemberIn(aMembership, aId);
  if (member == nullptr || member->mVoter) {
    return false;
  }
  member->mVoter = true;
  return true;
}

} // namespace

const std::map<std::string, Cluster::VerbHandler>&
Cluster::VerbHandlers()
{
  static const std::map<std::string, VerbHandler> handlers{
    { "kill", &Cluster::DoKill },
    { "restart", &Cluster::DoRestart },
    { "freeze", &Cluster::DoFreeze },
    { "thaw", &Cluster::DoThaw },
    { "cut", &Cluster::DoCut }, // NODE from NODE (both ways), NODE to NODE
    { "heal", &Cluster::DoHeal },
    { "lose-disk", &Cluster::DoLoseDisk }, // NODE [if-repaired|as-learner]
    { "remove", &Cluster::DoRemove },
    { "disk", &Cluster::DoDisk },       // NODE full|read-only|normal|DELAY
    { "network", &Cluster::DoNetwork }, // LOSS% DUPLICATION% MAX-DELAY
    { "submit", &Cluster::DoSubmit },   // N commands
    { "transfer", &Cluster::DoTransfer },
    { "plant", &Cluster::DoPlant },
    { "remember", &Cluster::DoRemember }, // leader
    { "expect", &Cluster::DoExpect },     // CONDITION [within TIME]
  };
  return handlers;
}

void
Cluster::Run(const std::vector<std::string>& aLines)
{
  for (const std::string& line : aLines) {
    Words words = Split(line);
    if (words.at(0) == "at") {
      const base::Time time = base::Time() + ParseDuration(words.at(1));
      mSimulation.RunUntil(std::max(time, mSimulation.Now()));
      words.erase(words.begin(), words.begin() + 2);
    }
    AddToHistory(line);
    const std::string verb = words.at(0);
    words.erase(words.begin());
    (this->*VerbHandlers().at(verb))(words);
  }
  ControlNode* leader = Leader();
  if (mHasClient && leader != nullptr &&
      !HasApplied(*leader, mAcknowledged.size())) {
    mChecker.AddViolation("acknowledged command lost");
  }
}

void
Cluster::ForEach(const std::string& aName,
                 const std::function<void(ControlNode&)>& aAction)
{
  ControlNode* leader = aName == "leader" ? Leader() : nullptr;
  for (const auto& node : mNodes) {
    if (aName == "*" || aName == node->Name() || node.get() == leader) {
      aAction(*node);
    }
  }
}

void
Cluster::DoKill(const Words& aWords)
{
  ForEach(aWords.at(0), [](ControlNode& aNode) { aNode.Kill(); });
}

void
Cluster::DoRestart(const Words& aWords)
{
  ForEach(aWords.at(0), [](ControlNode& aNode) { aNode.Start(); });
}

void
Cluster::DoFreeze(const Words& aWords)
{
  ForEach(aWords.at(0), [](ControlNode& aNode) { aNode.Freeze(); });
}

void
Cluster::DoThaw(const Words& aWords)
{
  ForEach(aWords.at(0), [](ControlNode& aNode) { aNode.Thaw(); });
}

void
Cluster::DoCut(const Words& aWords)
{
  std::string name = aWords.at(0);
  if (name == "leader") {
    ForEach(name, [&](ControlNode& aNode) { name = aNode.Name(); });
  }
  mNetwork.Cut(name, aWords.at(2));
  if (aWords.at(1) == "from") {
    mNetwork.Cut(aWords.at(2), name);
  }
}

void
Cluster::DoHeal(const Words&)
{
  mNetwork.Heal();
}

void
Cluster::DoLoseDisk(const Words& aWords)
{
  const std::string mode = aWords.size() > 1 ? aWords[1] : "";
  if (mode == "if-repaired" && !IsFullyRepaired()) {
    return;
  }
  ForEach(aWords.at(0), [&](ControlNode& aNode) {
    const base::MemberId old = aNode.Id();
    const base::MemberId id(++mNextId);
    aNode.ReplaceDisk(id);
    using Membership = consensus::Membership;
    mMembershipChanges.emplace_back([old](Membership& aMembership) {
      return RemoveMember(aMembership, old);
    });
    mMembershipChanges.emplace_back(
      [id](Membership& aMembership) { return AddLearner(aMembership, id); });
    if (mode != "as-learner") {
      mMembershipChanges.emplace_back(
        [id](Membership& aMembership) { return Promote(aMembership, id); });
    }
  });
}

void
Cluster::DoRemove(const Words& aWords)
{
  ForEach(aWords.at(0), [&](ControlNode& aNode) {
    mMembershipChanges.emplace_back(
      [id = aNode.Id()](consensus::Membership& aMembership) {
        return RemoveMember(aMembership, id);
      });
  });
}

void
Cluster::DoDisk(const Words& aWords)
{
  const std::string& state = aWords.at(1);
  ForEach(aWords.at(0), [&](ControlNode& aNode) {
    aNode.mFiles.mFull = state == "full";
    aNode.mFiles.mReadOnly = state == "read-only";
    const bool delay = std::isdigit(static_cast<unsigned char>(state[0])) != 0;
    aNode.mDiskDelay = delay ? ParseDuration(state) : base::Duration(200);
  });
}

void
Cluster::DoNetwork(const Words& aWords)
{
  mNetwork.mLossPercent = static_cast<std::uint32_t>(std::stoul(aWords.at(0)));
  mNetwork.mDuplicatePercent =
    static_cast<std::uint32_t>(std::stoul(aWords.at(1)));
  mNetwork.mDelayMax = ParseDuration(aWords.at(2));
}

void
Cluster::DoSubmit(const Words& aWords)
{
  const std::uint64_t count = std::stoull(aWords.at(0));
  for (std::uint64_t i = 0; i < count; ++i) {
    mPendingCommands[++mNextCommand].mRetryAt = mSimulation.Now();
  }
}

void
Cluster::DoTransfer(const Words&)
{
  ForEach("leader", [this](ControlNode& aNode) {
    aNode.Step([&] { aNode.GetRaft().TransferLeadership(mSimulation.Now()); });
  });
}

void
Cluster::DoPlant(const Words& aWords)
{
  static const std::map<std::string, InjectedFault> faults{
    { "skip-sync", InjectedFault::SkipSync },
    { "old-term", InjectedFault::AcceptOldTerm },
    { "learner-vote", InjectedFault::CountLearnerVote },
    { "stale-read", InjectedFault::StaleRead },
    { "reuse-index", InjectedFault::ReuseIndex },
  };
  mInjectedFault = faults.at(aWords.at(0));
  for (const auto& node : mNodes) {
    node->mInjectedFault = mInjectedFault;
    node->mFiles.mSkipsSyncs = mInjectedFault == InjectedFault::SkipSync;
  }
}

void
Cluster::DoRemember(const Words&)
{
  ControlNode* leader = Leader();
  mRememberedLeader = { leader->GetRaft().CurrentTerm(), leader->Id() };
}

std::function<bool()>
Cluster::MakeCondition(const Words& aWords)
{
  const std::string& subject = aWords.at(0);
  const std::string name = aWords.size() > 1 ? aWords[1] : "";
  if (subject == "leader") {
    return [this] { return Leader() != nullptr; };
  }
  if (subject == "remembered") { // leader: still leads in the same term
    return [this] {
      ControlNode* leader = Leader();
      return leader != nullptr && leader->Id() == mRememberedLeader.second &&
             leader->GetRaft().CurrentTerm() == mRememberedLeader.first;
    };
  }
  if (subject == "another") { // leader than the remembered one
    return [this] {
      ControlNode* leader = Leader();
      return leader != nullptr && leader->Id() != mRememberedLeader.second;
    };
  }
  if (subject == "applied" && name == "all") {
    return [this] {
      return mPendingCommands.empty() &&
             std::all_of(mNodes.begin(), mNodes.end(), [&](const auto& aNode) {
               return !aNode->IsResponsive() ||
                      HasApplied(*aNode, mAcknowledged.size());
             });
    };
  }
  if (subject == "applied") {
    return [this, count = std::stoull(name)] {
      return mAcknowledged.size() >= count;
    };
  }
  if (subject == "history") { // contains the words that follow
    std::string text;
    for (std::size_t i = 1; i < aWords.size(); ++i) {
      text += (i > 1 ? " " : "") + aWords[i];
    }
    return [this, text] {
      return std::any_of(
        mHistory.begin(), mHistory.end(), [&](const auto& aLine) {
          return aLine.find("ms: " + text) != std::string::npos;
        });
    };
  }
  // NODE voter|learner|removed|not-leader
  return [this, node = subject, state = name] {
    bool holds = false;
    ControlNode* leader = Leader();
    ForEach(node, [&](ControlNode& aNode) {
      if (state == "not-leader") {
        holds = !aNode.IsLeader();
      } else if (leader != nullptr) {
        auto& raft = leader->GetRaft();
        consensus::Membership now = raft.MembershipAt(raft.CommitIndex());
        const consensus::Member* member = FindMemberIn(now, aNode.Id());
        holds = member == nullptr ? state == "removed"
                                  : member->mVoter == (state == "voter");
      }
    });
    return holds;
  };
}

void
Cluster::DoExpect(const Words& aWords)
{
  Words words = aWords;
  base::Time deadline = mSimulation.Now();
  if (words.size() > 2 && words[words.size() - 2] == "within") {
    deadline += ParseDuration(words.back());
    words.resize(words.size() - 2);
  }
  const auto condition = MakeCondition(words);
  while (!condition()) {
    if (mSimulation.Now() >= deadline) {
      mChecker.AddViolation("not met: " + mHistory.back());
      return;
    }
    mSimulation.RunUntil(mSimulation.Now() + base::Milliseconds(10));
  }
}

std::vector<std::string>
RandomScript(std::uint64_t aSeed,
             std::size_t aNodes,
             int aFaults,
             std::uint64_t aStartMs)
{
  std::mt19937_64 random(aSeed);
  static const std::vector<std::string> verbs{
    "kill NODE",
    "restart *",
    "freeze NODE",
    "thaw *",
    "cut NODE from *",
    "cut NODE to NODE",
    "cut NODE from NODE",
    "heal",
    "kill leader",
    "freeze leader",
    "cut leader from *",
    "lose-disk NODE if-repaired",
    "network 5 20 20ms",
    "network 0 0 1ms",
    "disk NODE 300ms",
    "disk * normal",
    "transfer",
    "submit 20 commands",
    "submit 100 commands",
    "restart *",
    "kill *",
  };
  const auto node = [&] {
    return "control-" + std::to_string(1 + random() % aNodes);
  };
  std::vector<std::string> lines{ "submit 20 commands" };
  std::uint64_t time = aStartMs;
  for (int i = 0; i < aFaults; ++i) {
    time += random() % 1200;
    std::string verb = verbs[random() % verbs.size()];
    for (auto at = verb.find("NODE"); at != std::string::npos;
         at = verb.find("NODE")) {
      verb.replace(at, 4, node());
    }
    lines.push_back("at " + std::to_string(time) + "ms " + verb);
  }
  for (const char* line : { "heal",
                            "thaw *",
                            "disk * normal",
                            "network 0 0 1ms",
                            "restart *",
                            "expect leader within 8s" }) {
    lines.emplace_back(line);
  }
  return lines;
}

} // namespace dogwooddrum::support
