package main

// endless selects the tests of bytes without an end.
var endless = []string{"./upstream", "./platform", "-run", "Endless|HeadLimit|Together|TooMany"}

// largeReplies selects the tests of large replies of the store.
var largeReplies = []string{"./platform", "-run", "HostsUse|HostsDontUse|UnusableChanges"}

// boundMutations remove what bounds the bytes that a host holds of what others send.
var boundMutations = []mutation{
	{
		"Bounds: the head of an answer", "upstream/head.go",
		"	con.head.left.Store(transport.MaxHeadBytes)\n", "	con.head.left.Store(max(noHeadLimit, -transport.MaxHeadBytes))\n",
		endless,
	},
	{
		"Bounds: a head that comes in parts", "upstream/connection.go",
		"	con.head.read(count)\n	if count > 0 {\n", "	if count > 0 {\n",
		endless,
	},
	{
		"Bounds: all answers together", "upstream/allowance.go",
		" && total > maxHeldBytes {\n", " && total > maxHeldBytes<<20 {\n",
		endless,
	},
	{
		"Bounds: what a failed call held is free again", "upstream/answer.go",
		"	if !ans.kept {\n", "	if false {\n",
		endless,
	},
	{
		"Bounds: the elements of a reply of the store", "platform/reply.go",
		" >= maxReplyElements:\n", " >= maxReplyElements<<20:\n",
		endless,
	},
	{
		"Bounds: all pages of a list", "platform/reply.go",
		"	if lst.size > maxListBytes {\n", "	if lst.size > maxListBytes<<1 {\n",
		endless,
	},
	{
		"Bounds: the heads of other requests", "entry/directory.go",
		"MaxHeaderBytes: maxHeaderBytes, ", "",
		[]string{"./entry", "-run", "LargeHeads"},
	},
	{
		"Bounds: a watch's answer that can't be used is told from one that was lost", "platform/client.go",
		"	if isUnusable(err) {\n", "	if isUnusable(err) && after == 0 {\n",
		largeReplies,
	},
	{
		"Bounds: a host lists all keys after changes that it can't use", "entry/source.go",
		"	if errors.As(err, &unusable) {\n", "	if errors.As(err, &unusable) && unusable.After == 0 {\n",
		[]string{"./entry", "-run", "TestHostsServeWhatever.*/values"},
	},
	{
		"Bounds: large values of the store are left out", "platform/reply.go",
		"known.MaxBytes > 0 && ", "known.MaxBytes > 0 && known.MaxBytes < 0 && ",
		largeReplies,
	},
	{
		"Bounds: unrecognized keys of the store take one page", "platform/intake.go",
		"	if _, found := storeKeyOf(last); found {\n", "	if _, found := storeKeyOf(last); found || last != \"\" {\n",
		largeReplies,
	},
	{
		"Bounds: the keys of a family", "intake/intake.go",
		"(known || len(fam.sizes) < MaxKeys)", "(known || len(fam.sizes) < MaxKeys<<10)",
		[]string{"./intake"},
	},
	{
		"Bounds: the data of a family", "intake/intake.go",
		"fits := total <= MaxBytes && ", "fits := total <= MaxBytes<<10 && ",
		[]string{"./intake"},
	},
	{
		"Bounds: what can't be used leaves room", "intake/intake.go",
		" || itk.rules.IsUsable(val)\n", " || val.Key != \"\"\n",
		[]string{"./intake"},
	},
	{
		"Bounds: what was left out is read once there is room", "intake/intake.go",
		"if fam.lacking && !fam.uses(roomShare) {", "if fam.lacking && len(fam.sizes) == 0 {",
		[]string{"./intake"},
	},
}
