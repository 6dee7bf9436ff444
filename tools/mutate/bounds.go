package main

// endless selects the tests of bytes without an end.
var endless = []string{"./upstream", "./platform", "-run", "Endless|HeadLimit|Together|TooMany"}

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
		"Bounds: the elements of a reply of the store", "platform/client.go",
		" >= maxReplyElements {\n", " >= maxReplyElements<<20 {\n",
		endless,
	},
	{
		"Bounds: all pages of a list", "platform/client.go",
		"		if size > maxListBytes {\n", "		if size > maxListBytes<<1 {\n",
		endless,
	},
	{
		"Bounds: the heads of other requests", "entry/directory.go",
		"MaxHeaderBytes: maxHeaderBytes, ", "",
		[]string{"./entry", "-run", "LargeHeads"},
	},
}
