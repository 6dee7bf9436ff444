package main

// eraMutations remove what is done about a store that was restored.
var eraMutations = []mutation{
	{
		"Eras: an era is learned from another host", "platform/era.go",
		"		if uint64(era) <= known ||", "		if true ||",
		[]string{"./platform"},
	},
	{
		"Eras: renewals after an outage are spread", "entry/lease.go",
		"	return renewInterval(hosts) / 2\n", "	return registerJitter\n",
		[]string{"./entry"},
	},
	{
		"Eras: a watch of an earlier era is gone", "platform/client.go",
		"ser.Status == http.StatusGone || err == nil && era != after.Era() {", "ser.Status == http.StatusGone {",
		[]string{"./platform"},
	},
	{
		"Eras: a condition of an earlier era isn't sent", "platform/client.go",
		"	if !wri.Blind && wri.Expect != 0 && wri.Expect.Era() < known {\n		return 0, &store.ConflictError{Key: wri.Key, Expect: wri.Expect}\n	}\n", "",
		[]string{"./platform"},
	},
	{
		"Eras: a lease of an earlier era isn't renewed", "platform/client.go",
		"	if err == nil && era != id.Era {\n", "	if false && era != id.Era {\n",
		[]string{"./platform"},
	},
	{
		"Eras: newer knowledge stays in force", "entry/restored.go",
		"	if !wat.inRestoreGrace(now) {\n", "	if true {\n",
		[]string{"./entry"},
	},
	{
		"Eras: the coordinator writes the hosts' values again", "entry/rewrites.go",
		"			if rew.host.broker.coordinates() {\n", "			if false {\n",
		[]string{"./entry"},
	},
}
